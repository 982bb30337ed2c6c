Feature: What an instance says of its pace now is acted on by all of its zone, while it is news

  # Instances share their machines with others: three in twenty took two and a half times as long, drawn
  # anew each 0.6 s. Means over calls say nothing of it, so that calls went on to a slow one of two.

  Scenario Outline: The pace is the fourth figure of the load header
    When a back end's load header says "<header>"
    Then its pace is <pace> thousandths

    Examples:
      | header              | pace |
      | 3,0,6,250           | 2500 |
      | 3, 0, 6, 100        | 1000 |
      | 3,0,6               | 0    |
      |                     | 0    |
      | 3,0,6,              | 0    |
      | 3,0,6,-5            | 0    |
      | 3,0,6,9999999999999 | 0    |

  Scenario: An agent tells a pace with answers, and at once to its relay when it changes much
    Given a registered agent with 4 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the back end answers agent stream 1 at a pace of 1000
    Then the agent has told its relay the paces ""
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the back end answers agent stream 2 at a pace of 2500
    Then the agent has told its relay the paces "2500"
    And the last answer carries a pace of 2500
    When the agent's time goes on by 0.6 seconds
    And the agent gets a call on agent stream 3 with 10 seconds left
    And the back end answers agent stream 3 at a pace of 0
    Then the last answer carries a pace of 0

  Scenario: Of like endpoints the one that is slow now is left alone until that is old
    Given two like endpoints of the zone, of which the first says that it takes 2.5 times as long
    Then calls go to the second
    When 4 seconds pass without word of it
    Then calls go to both

  Scenario: Whatever agents tell is packed and read alike
    Then any news of endpoints comes out as it went in, paces to 20 thousandths
    And news without paces takes no bytes for them
    And a message whose paces are cut short is read as far as they go
