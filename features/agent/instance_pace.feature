Feature: Proxies of a zone avoid instances that currently report a slow pace

  # Guards against calls to an instance that is slow for a short time: averages over calls do not
  # show it.

  Scenario Outline: The pace is the fourth number of the load header
    When a back end's load header says "<header>"
    Then its pace is <pace> permille

    Examples:
      | header              | pace |
      | 3,0,6,250           | 2500 |
      | 3, 0, 6, 100        | 1000 |
      | 3,0,6               | 0    |
      |                     | 0    |
      | 3,0,6,              | 0    |
      | 3,0,6,-5            | 0    |
      | 3,0,6,9999999999999 | 0    |

  Scenario: An agent reports the pace with responses, and large changes immediately to its relay
    Given a registered agent with 4 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the back end answers agent stream 1 at a pace of 1000
    Then the agent has reported the paces "" to its relay
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the back end answers agent stream 2 at a pace of 2500
    Then the agent has reported the paces "2500" to its relay
    And the last answer carries a pace of 2500
    When the agent's clock advances by 0.6 seconds
    And the agent gets a call on agent stream 3 with 10 seconds left
    And the back end answers agent stream 3 at a pace of 0
    Then the last answer carries a pace of 0

  Scenario: Of equal endpoints the slow one is avoided until its report expires
    Given two equal endpoints of the zone, of which the first reports a pace of 2.5 times the usual
    Then calls go to the second
    When 4 seconds pass without a further report
    Then calls go to both

  Scenario: Endpoint updates are encoded and decoded consistently
    Then any endpoint update decodes to what was encoded, paces to within 20 permille
    And an update without paces uses no bytes for them
    And in a message with fewer paces than endpoints, the other paces are unknown
