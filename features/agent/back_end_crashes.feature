Feature: An agent tells the end of its back end's process from connections that merely broke

  Background:
    Given a registered agent with 3 slots and a proxy
    And the agent's back end has answered a call after 0.1 seconds

  Scenario: All connections break and new ones are refused: the process has ended under its calls
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the agent gets a call on agent stream 3 with 10 seconds left
    And the connections of agent streams 2 and 3 end
    Then the agent has tried 1 connections
    And agent stream 2 has no answer yet
    When a connection to the agent's back end is refused
    Then agent stream 2 has failed with backend-crashed
    And agent stream 3 has failed with backend-crashed
    And both were told one crash, and the relay was told it with both requests
    When the agent gets a call on agent stream 4 with 10 seconds left
    Then agent stream 4 has failed with connection-failed
    When 0.1 seconds pass at the agent
    Then the last load that the agent reported is 255

  Scenario: It is there again once a connection opens, and not while connections are refused
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the connection of agent stream 2 ends
    And a connection to the agent's back end is refused
    And 0.25 seconds pass at the agent
    And a connection to the agent's back end is refused
    And the agent gets a call on agent stream 3 with 10 seconds left
    Then agent stream 3 has failed with connection-failed
    When 0.25 seconds pass at the agent
    And a connection to the agent's back end opens
    And the agent gets a call on agent stream 4 with 10 seconds left
    Then the agent's back end has been asked for agent stream 4

  Scenario: A connection that breaks beside a process that goes on is no crash
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the connection of agent stream 2 ends
    And a connection to the agent's back end opens
    Then agent stream 2 has failed with backend-failed
    And the relay was told of no crash

  Scenario: A full back end that refuses connections while others run has not ended
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the agent gets a call on agent stream 3 with 10 seconds left
    And the connection of agent stream 2 ends
    And connections to the agent's back end are refused for 0.3 seconds
    Then agent stream 2 has failed with backend-failed
    And agent stream 3 has no answer yet
    And the relay was told of no crash

  Scenario: The others' connections break a moment later
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the agent gets a call on agent stream 3 with 10 seconds left
    And the connection of agent stream 2 ends
    And a connection to the agent's back end is refused
    And the connection of agent stream 3 ends
    And 0.03 seconds pass at the agent
    And a connection to the agent's back end is refused
    Then agent stream 2 has failed with backend-crashed
    And both were told one crash, and the relay was told it with both requests

  Scenario: A call that its caller left just before is a suspect as well
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the agent gets a call on agent stream 3 with 10 seconds left
    And the proxy cancels agent stream 2, which its back end has begun
    And the connection of agent stream 3 ends
    And a connection to the agent's back end is refused
    Then the relay was told of a crash with the requests of agent streams 2 and 3

  Scenario: The only call had been left by its caller: the next connection that is refused tells
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the proxy cancels agent stream 2, which its back end has begun
    And 0.2 seconds pass at the agent
    And the agent gets a call on agent stream 3 with 10 seconds left
    And no connection opens for agent stream 3
    Then agent stream 3 has failed with connection-failed
    When a connection to the agent's back end is refused
    Then the relay was told of a crash with the requests of agent streams 2 and 2

  Scenario: A back end that ended idle is found once, and calls go elsewhere from then on
    When 5 seconds pass at the agent
    And the agent gets a call on agent stream 2 with 10 seconds left
    And no connection opens for agent stream 2
    And a connection to the agent's back end is refused
    Then the relay was told of no crash
    When the agent gets a call on agent stream 3 with 10 seconds left
    Then agent stream 3 has failed with connection-failed
    And the last load that the agent reported is 255

  Scenario: While it isn't known, no further call is lost
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the connection of agent stream 2 ends
    And the agent gets a call on agent stream 3 with 10 seconds left
    And a connection to the agent's back end is refused
    Then agent stream 3 has failed with connection-failed

  Scenario: A back end that leaves as planned has not crashed
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the agent begins to drain
    And 2 seconds pass at the agent
    And the connection of agent stream 2 ends
    And a connection to the agent's back end is refused
    Then agent stream 2 has failed with backend-failed
    And the relay was told of no crash

  Scenario: One that ends while it should still finish its calls has
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the agent begins to drain
    And 0.5 seconds pass at the agent
    And the connection of agent stream 2 ends
    And a connection to the agent's back end is refused
    Then agent stream 2 has failed with backend-crashed
    And the relay was told of a crash with the requests of agent streams 2 and 2

  Scenario: A process whose end was slept through is known by its successor
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the connection of agent stream 2 ends
    And a connection to the agent's back end opens
    Then the relay was told of no crash
    When another process reports itself to the agent
    Then the relay was told of a crash with the requests of agent streams 2 and 2

  Scenario: Without a lease the relay is told once there is one
    When the agent's relay link is lost
    And the agent gets a call on agent stream 2 with 10 seconds left
    And the connection of agent stream 2 ends
    And a connection to the agent's back end is refused
    Then the relay was told of no crash
    When the agent is registered again
    Then the relay was told of a crash with the requests of agent streams 2 and 2
