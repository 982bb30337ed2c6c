@fleet
Feature: Faults of agents and back ends under running calls
  Callers resend what is cut, those that may not be repeated under their idempotency key. None is
  lost and none is run twice.

  Background:
    Given a running fleet with calls under way

  Scenario Outline: <process>: <fault>
    When <process> is struck by "<fault>"
    Then repeatable calls are still answered
    When a change is accepted
    Then it is in force on every other proxy
    When what was struck recovers
    Then it is in force on every proxy and agent
    And repeatable calls are still answered
    And nothing was lost, run twice, answered wrongly or reverted

    Examples:
      | process    | fault               |
      | agent 1    | kill -9             |
      | agent 1    | SIGSTOP             |
      | agent 1    | data folder removed |
      | agent 1    | link cut both ways  |
      | agent 1    | link cut inwards    |
      | agent 1    | link cut outwards   |
      | back end 1 | kill -9             |
      | back end 1 | SIGSTOP             |
      | back end 1 | link cut both ways  |
      | back end 1 | link cut inwards    |
      | back end 1 | link cut outwards   |

  Scenario: A lagging platform list calls an agent that came back leaving
    When agent 1 makes a planned stop
    Then no attempt was cut
    And back end 1 soon gets no new work while others do
    When the platform marks the machine of agent 1 as leaving
    And agent 1 is started again
    And calls run for 6 seconds
    Then back end 1 gets new work
    And nothing was lost, run twice, answered wrongly or reverted

  Scenario: Only the platform's list knows that a machine leaves
    When the platform marks the machine of agent 3 as leaving
    Then back end 3 soon gets no new work while others do
    When agent 3 makes a planned stop
    Then no attempt was cut
    When agent 3 is started again
    Then back end 3 gets new work
    And nothing was lost, run twice, answered wrongly or reverted
