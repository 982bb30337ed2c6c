@fleet
Feature: Faults of the source under running calls
  Whatever happens to the replicas of the source, running calls are not touched by it, and an
  accepted change is in force on every proxy soon after and never reverts.

  Background:
    Given a running fleet with calls under way

  Scenario Outline: <process>: <fault>
    When <process> is struck by "<fault>"
    And a change is accepted
    Then it is in force on every proxy and agent
    When what was struck recovers
    And a change is accepted
    Then it is in force on every proxy and agent
    And nothing was lost, run twice, answered wrongly or reverted

    Examples:
      | process    | fault               |
      | the leader | kill -9             |
      | the leader | SIGSTOP             |
      | the leader | data folder removed |
      | the leader | link cut both ways  |
      | the leader | link cut inwards    |
      | the leader | link cut outwards   |
      | a follower | kill -9             |
      | a follower | SIGSTOP             |
      | a follower | data folder removed |
      | a follower | link cut both ways  |
      | a follower | link cut inwards    |
      | a follower | link cut outwards   |
