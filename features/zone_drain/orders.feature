Feature: Orders that drain a zone are committed once, however they are resent

  Background:
    Given three control processes that know the zones "east, west"

  Scenario: An order and its withdrawal are committed
    When the zone "east" is ordered to be drained by "anna"
    Then the order is accepted
    And the drained zones are "east", ordered by "anna"
    When the drain of the zone "east" is withdrawn
    Then the order is accepted
    And no zone is drained

  Scenario: An order that is in effect already is accepted without a write
    When the zone "east" is ordered to be drained by "anna"
    And the zone "east" is ordered to be drained by "boris"
    Then the order is accepted
    And the second order made no version
    And the drained zones are "east", ordered by "anna"
    When the drain of the zone "west" is withdrawn
    Then the order is accepted
    And the second order made no version

  Scenario: The answer of an order is lost and the order is resent to another replica
    When the zone "east" is ordered to be drained and the answer is lost
    And the same order is sent to a follower
    Then the order is refused as "not-leader" naming the leader
    When the zone "east" is ordered to be drained by "anna"
    Then the order is accepted
    And the second order made no version

  Scenario: The leader is lost between the commit and its answer
    When the zone "east" is ordered to be drained and the leader is lost after the commit
    Then the order is refused as "write-unknown"
    When the zone "east" is ordered to be drained by "anna"
    Then the order is accepted
    And the second order made no version
    And the drained zones are "east", ordered by "anna"

  Scenario: Two operators drain a zone at once, and neither is refused
    When "anna" and "boris" order the zone "east" to be drained at once
    Then both orders are accepted
    And the drained zones are "east", ordered by "boris"

  Scenario: Two operators withdraw a drain at once, and neither is refused
    When the zone "east" is ordered to be drained by "anna"
    And two operators withdraw the drain of the zone "east" at once
    Then both orders are accepted
    And no zone is drained

  Scenario: Changes of the configuration neither refuse nor delay an order
    When the configuration changes before each write, and the zone "east" is ordered to be drained
    Then the order is accepted
    And the drained zones are "east", ordered by "anna"

  Scenario: Without a majority an order is refused, and nothing is promised
    When the leader is cut off and the zone "east" is ordered to be drained there
    Then the order is refused as "no-quorum"

  Scenario: All control processes are restarted
    When the zone "east" is ordered to be drained by "anna"
    And all control processes are killed and started again
    Then the drained zones are "east", ordered by "anna"

  Scenario: A zone that the settings don't list is refused, and one that they no longer list can be withdrawn
    When the zone "north" is ordered to be drained by "anna"
    Then the order is refused as "not-found"
    When the drain of the zone "north" is withdrawn
    Then the order is refused as "not-found"
    When the zone "east" is ordered to be drained by "anna"
    And the settings list only the zones "west"
    And the drain of the zone "east" is withdrawn
    Then the order is accepted
    And no zone is drained

  Scenario: Settings without zones take any zone
    When the settings list no zones
    And the zone "north" is ordered to be drained by "anna"
    Then the order is accepted

  Scenario: The platform's orders are answered by status
    Then the platform's orders are answered
      | method | path               | body | status |
      | POST   | /v1/evacuate/east  |      | 200    |
      | POST   | /v1/evacuate/east  |      | 200    |
      | DELETE | /v1/evacuate/east  |      | 200    |
      | DELETE | /v1/evacuate/east  |      | 200    |
      | POST   | /v1/evacuate/north |      | 404    |
      | POST   | /v1/evacuate/east  | {}   | 400    |
      | DELETE | /v1/evacuate/east  | {}   | 400    |
      | POST   | /v1/evacuate/      |      | 400    |
      | POST   | /v1/evacuate       |      | 400    |
      | GET    | /v1/evacuate/east  |      | 405    |
      | PUT    | /v1/evacuate/east  |      | 405    |
    And the platform's order at a follower is answered 307 with its own path at the leader
    And the platform's order at a leader that is cut off is answered 503
