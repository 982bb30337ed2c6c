Feature: An agent detects an unresponsive back end and refuses calls to it

  Background:
    Given a registered agent with 2 slots and a proxy
    And the agent's back end has answered a call after 0.1 seconds

  Scenario: A connection is checked once all running calls are overdue
    When the agent gets a call on agent stream 2 with 10 seconds left
    And 0.3 seconds pass at the agent
    And the agent gets a call on agent stream 3 with 10 seconds left
    And 0.3 seconds pass at the agent
    Then the agent has made 0 connection checks
    When 0.2 seconds pass at the agent
    Then the agent has made 1 connection checks

  Scenario: Waiting, repeatable and new calls fail at once while the back end is unresponsive
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the agent gets an at-most-once call on agent stream 3
    And the agent gets a call on agent stream 4 with 10 seconds left
    And 0.5 seconds pass at the agent
    And a connection to the agent's back end times out
    Then agent stream 4 has failed with connection-failed
    And agent stream 2 has failed with backend-failed
    And agent stream 3 has no answer yet
    When the agent gets a call on agent stream 5 with 10 seconds left
    Then agent stream 5 has failed with connection-failed
    And the last load that the agent reported is the maximum, 255

  Scenario: A call that waits for a connection to an unresponsive back end is reported as not run
    When the agent gets a call on agent stream 2 with 10 seconds left
    And 0.5 seconds pass at the agent
    And a connection to the agent's back end times out while its calls wait for connections
    Then agent stream 2 has failed with connection-failed

  Scenario: Calls are accepted again as soon as a connection opens
    When the agent gets a call on agent stream 2 with 10 seconds left
    And 0.5 seconds pass at the agent
    And a connection to the agent's back end times out
    And 0.25 seconds pass at the agent
    Then the agent has made 2 connection checks
    When a connection to the agent's back end opens
    And the agent gets a call on agent stream 3 with 10 seconds left
    Then the agent's back end received the request of agent stream 3

  Scenario: A slow back end that accepts connections keeps its calls
    When the agent gets a call on agent stream 2 with 10 seconds left
    And 0.5 seconds pass at the agent
    And a connection to the agent's back end opens
    And the agent gets a call on agent stream 3 with 10 seconds left
    Then agent stream 2 has no answer yet
    And the agent's back end received the request of agent stream 3

  Scenario: An idle back end is not checked
    When 10 seconds pass at the agent
    Then the agent has made 0 connection checks

  Scenario Outline: A back end whose connections <what> is <state>
    Given a back end whose new connections <what>
    Then a connection check of 0.15 seconds finds the back end <state>

    Examples:
      | what        | state       |
      | open        | reachable   |
      | are refused | reachable   |
      | hang        | unreachable |

  Scenario: A process that is delayed during a check does not report its back end as unresponsive
    Guards against a false positive when the agent itself gets no processor time for longer than the check allows.
    Given a back end whose new connections open
    Then a process that is delayed for 0.3 seconds during a connection check finds the back end reachable
