Feature: An agent distinguishes a crash of its back end from broken connections

  Background:
    Given a registered agent with 3 slots and a proxy
    And the agent's back end has answered a call after 0.1 seconds

  Scenario: The process has crashed if all connections break and new ones are refused
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the agent gets a call on agent stream 3 with 10 seconds left
    And the back end connections of agent streams 2 and 3 break
    Then the agent has made 1 connection checks
    And agent stream 2 has no answer yet
    When a connection to the agent's back end is refused
    Then agent stream 2 has failed with backend-crashed
    And agent stream 3 has failed with backend-crashed
    And both failures have one crash number, which the relay received with both requests
    When the agent gets a call on agent stream 4 with 10 seconds left
    Then agent stream 4 has failed with connection-failed
    When 0.1 seconds pass at the agent
    Then the last load that the agent reported is the maximum, 255

  Scenario: Calls are refused until a new connection opens
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the back end connection of agent stream 2 breaks
    And a connection to the agent's back end is refused
    And 0.25 seconds pass at the agent
    And a connection to the agent's back end is refused
    And the agent gets a call on agent stream 3 with 10 seconds left
    Then agent stream 3 has failed with connection-failed
    When 0.25 seconds pass at the agent
    And a connection to the agent's back end opens
    And the agent gets a call on agent stream 4 with 10 seconds left
    Then the agent's back end received the request of agent stream 4

  Scenario: A broken connection is no crash while the process is running
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the back end connection of agent stream 2 breaks
    And a connection to the agent's back end opens
    Then agent stream 2 has failed with backend-failed
    And no crash was reported to the relay

  Scenario: An overloaded back end that refuses connections while calls run has not crashed
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the agent gets a call on agent stream 3 with 10 seconds left
    And the back end connection of agent stream 2 breaks
    And connections to the agent's back end are refused for 0.3 seconds
    Then agent stream 2 has failed with backend-failed
    And agent stream 3 has no answer yet
    And no crash was reported to the relay

  Scenario: A crash is detected when the other connections break a moment later
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the agent gets a call on agent stream 3 with 10 seconds left
    And the back end connection of agent stream 2 breaks
    And a connection to the agent's back end is refused
    And the back end connection of agent stream 3 breaks
    And 0.03 seconds pass at the agent
    And a connection to the agent's back end is refused
    Then agent stream 2 has failed with backend-crashed
    And both failures have one crash number, which the relay received with both requests

  Scenario: A call that was cancelled shortly before the crash is a suspect
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the agent gets a call on agent stream 3 with 10 seconds left
    And the proxy cancels agent stream 2 while it runs at the back end
    And the back end connection of agent stream 3 breaks
    And a connection to the agent's back end is refused
    Then a crash was reported to the relay with the requests of agent streams 2 and 3

  Scenario: A crash during a cancelled call is detected by the next refused connection
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the proxy cancels agent stream 2 while it runs at the back end
    And 0.2 seconds pass at the agent
    And the agent gets a call on agent stream 3 with 10 seconds left
    And no back end connection opens for agent stream 3
    Then agent stream 3 has failed with connection-failed
    When a connection to the agent's back end is refused
    Then a crash was reported to the relay with the requests of agent streams 2 and 2

  Scenario: The exit of an idle back end is no crash, and further calls are refused
    When 5 seconds pass at the agent
    And the agent gets a call on agent stream 2 with 10 seconds left
    And no back end connection opens for agent stream 2
    And a connection to the agent's back end is refused
    Then no crash was reported to the relay
    When the agent gets a call on agent stream 3 with 10 seconds left
    Then agent stream 3 has failed with connection-failed
    And the last load that the agent reported is the maximum, 255

  Scenario: No further call is started until the state of the process is known
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the back end connection of agent stream 2 breaks
    And the agent gets a call on agent stream 3 with 10 seconds left
    And a connection to the agent's back end is refused
    Then agent stream 3 has failed with connection-failed

  Scenario: A back end that exits after its drain has not crashed
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the agent begins to drain
    And 2 seconds pass at the agent
    And the back end connection of agent stream 2 breaks
    And a connection to the agent's back end is refused
    Then agent stream 2 has failed with backend-failed
    And no crash was reported to the relay

  Scenario: A back end that exits early during its drain has crashed
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the agent begins to drain
    And 0.5 seconds pass at the agent
    And the back end connection of agent stream 2 breaks
    And a connection to the agent's back end is refused
    Then agent stream 2 has failed with backend-crashed
    And a crash was reported to the relay with the requests of agent streams 2 and 2

  Scenario: A crash that was missed is reported when the next process reports
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the back end connection of agent stream 2 breaks
    And a connection to the agent's back end opens
    Then no crash was reported to the relay
    When another back end process reports to the agent
    Then a crash was reported to the relay with the requests of agent streams 2 and 2

  Scenario: A crash without a lease is reported once there is one
    When the agent's connection to its relay closes
    And the agent gets a call on agent stream 2 with 10 seconds left
    And the back end connection of agent stream 2 breaks
    And a connection to the agent's back end is refused
    Then no crash was reported to the relay
    When the agent is registered again
    Then a crash was reported to the relay with the requests of agent streams 2 and 2
