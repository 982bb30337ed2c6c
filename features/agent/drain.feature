Feature: A draining agent refuses new calls and finishes running ones

  Scenario: New calls are refused and running ones finish
    Given a registered agent with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the agent is asked to drain
    Then the relay is told that the agent is draining
    When the agent gets a call on agent stream 2 with 10 seconds left
    Then agent stream 2 has failed with draining
    And the agent's back end received one request
    When the agent's back end answers agent stream 1
    Then agent stream 1 has its answer
    When 1.5 seconds pass at the agent
    Then the drain has finished with 0 calls cancelled
    And the relay is told that the agent is gone

  Scenario: Queued calls are refused after a short time
    Given a registered agent with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 20 seconds left
    And the agent gets a call on agent stream 2 with 20 seconds left
    And the agent is asked to drain
    And 2.5 seconds pass at the agent
    Then agent stream 2 has failed with draining
    And the agent's back end received one request

  Scenario: Calls still running at the drain limit are cancelled
    Given a registered agent with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 90 seconds left
    And the agent is asked to drain
    And 26 seconds pass at the agent
    Then the drain has finished with 1 calls cancelled
    And agent stream 1 has failed with backend-failed

  # Guards against calls that are taken during a stop and cut off at its end, while their instance is at work.
  Scenario: A call that may outlast the stop of its agent is refused at once
    Given a registered agent with 1 slots and a proxy
    When the agent's stop begins, with 5 seconds for answers, and it takes calls for 2
    And the agent gets a call on agent stream 9 with 10 seconds left
    Then agent stream 9 has failed with draining
    And the failure on agent stream 9 does not say that the agent is draining
    When the agent gets a call on agent stream 1 with 4 seconds left
    And 1 seconds pass at the agent
    And the agent's back end answers agent stream 1
    And the agent gets a call on agent stream 2 with 10 seconds left
    And the agent's back end answers agent stream 2
    Then agent streams 1 and 2 have their answers

  # Guards against queued calls that are started as the drain of a stop begins, and cut off at its end.
  Scenario: A queued call that may outlast the stop is refused as the agent begins to drain
    Given a registered agent with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 4 seconds left
    And the agent gets a call on agent stream 9 with 10 seconds left
    And the agent gets a call on agent stream 2 with 3 seconds left
    And the agent's stop begins, with 5 seconds for answers, and it takes calls for 1
    And 1.1 seconds pass at the agent
    And the agent is asked to drain
    Then agent stream 9 has failed with draining
    When the agent's back end answers agent stream 1
    And the agent's back end answers agent stream 2
    Then agent streams 1 and 2 have their answers

  # Guards against a queued call that a process which stood still starts after the drain's time for it.
  Scenario: No queued call is started late by a process that stood still
    Given a registered agent with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 20 seconds left
    And the agent gets a call on agent stream 2 with 20 seconds left
    And the agent is asked to drain
    And agent stream 1 is answered 3 seconds later, before the agent's timer fires
    Then agent stream 1 has its answer
    And agent stream 2 has failed with draining
    And the agent's back end received one request

  # Guards against a call that is sent to an instance whose drain began while it waited for a connection.
  Scenario Outline: A call that waits for a connection isn't sent after the drain's time for it
    Given a back end with one connection, which responds after 1.5 seconds
    When two calls are sent to it, and <limit>
    Then it received <received> requests, and the second call <end>

    Examples:
      | limit                                           | received | end                                     |
      | it takes calls for as long as they come         | 2        | was answered                            |
      | it takes no calls that are sent after 1 second  | 1        | was refused as draining after 1 second  |
      | it takes no calls that are sent after 2 seconds | 2        | was answered                            |

  # Guards against a new agent of a run that has left, whose node doesn't know of it.
  Scenario: An agent drains when its relay knows that the run beside it has left
    Given a registered agent with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the relay notifies the agent that its run has departed
    And the agent gets a call on agent stream 2 with 10 seconds left
    Then agent stream 2 has failed with draining
    And the agent's back end received one request
    And the agent registers as draining and leaving

  # Guards against a proxy that meets no agent, as it hasn't heard of the leave when the agent has finished.
  Scenario: Calls to a run that has left are refused as draining for some seconds
    Given a registered agent with 1 slots and a proxy
    When the relay notifies the agent that its run has departed
    And 2.8 seconds pass at the agent
    And the agent gets a call on agent stream 1 with 10 seconds left
    Then agent stream 1 has failed with draining
    When 3.5 seconds pass at the agent
    Then the drain has finished with 0 calls cancelled
