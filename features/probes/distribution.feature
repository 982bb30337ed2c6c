@fleet
Feature: Faults of relays and proxies under running calls
  An accepted change is in force soon on every proxy that can be reached, and on the others once
  they are back. Callers resend what is cut.

  Background:
    Given a running fleet with calls under way

  Scenario Outline: <process>: <fault>
    When <process> is struck by "<fault>"
    And a change is accepted
    Then it is in force on every other proxy
    And repeatable calls are still answered
    When what was struck recovers
    Then it is in force on every proxy and agent
    And nothing was lost, run twice, answered wrongly or reverted

    Examples:
      | process           | fault               |
      | the busiest relay | kill -9             |
      | the busiest relay | SIGSTOP             |
      | the busiest relay | data folder removed |
      | the busiest relay | link cut both ways  |
      | the busiest relay | link cut inwards    |
      | the busiest relay | link cut outwards   |
      | proxy 1           | kill -9             |
      | proxy 1           | SIGSTOP             |
      | proxy 1           | data folder removed |
      | proxy 1           | link cut both ways  |
      | proxy 1           | link cut inwards    |
      | proxy 1           | link cut outwards   |

  Scenario: Proxy, agent and relay make a planned stop
    When proxy 1 makes a planned stop
    And agent 1 makes a planned stop
    And relay 1 makes a planned stop
    Then no attempt was cut
    When proxy 1 is started again
    And agent 1 is started again
    And relay 1 is started again
    And a change is accepted
    Then it is in force on every proxy and agent
    And nothing was lost, run twice, answered wrongly or reverted
