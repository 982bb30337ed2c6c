Feature: A zone drain is a resource of the replicated configuration

  Scenario: A replacement of all resources leaves zone drains in effect
    Given a state in which the zone "east" is drained
    When a batch replaces all resources by one service
    Then the zone "east" is still drained in the state

  Scenario: A restored snapshot and a replayed log hold the same zone drain
    Given a state in which the zone "east" is drained
    When the state is restored from its snapshot
    Then the zone "east" is still drained in the state
    When the log is replayed from its start
    Then the zone "east" is still drained in the state

  Scenario: A withdrawn drain is gone
    Given a state in which the zone "east" is drained
    When a batch withdraws the drain of the zone "east"
    Then no zone is drained in the state

  Scenario Outline: A zone drain that can't be a key is refused before it is proposed
    Then a drain of the zone "<zone>" ordered by <letters> letters has a problem in "<field>"

    Examples:
      | zone      | letters | field      |
      | a/b       | 4       | zone       |
      | two words | 4       | zone       |
      | -nothing- | 4       | zone       |
      | east      | 129     | ordered_by |
