Feature: The mesh stays at capacity under overload, and refuses the excess at once

  Scenario: A zone is lost at full load
    Given a mesh bench of two zones with weights small=1, middle=2, large=5
    When each group of the mesh bench offers 50 calls a second to zones "ab" for 10 seconds
    And the mesh bench loses zone b
    And each group of the mesh bench offers 50 calls a second to zones "a" for 20 seconds
    Then from second 2 after the loss the mesh bench answers at least 95 percent of zone a's capacity
    And the groups of the mesh bench are served small=10, middle=20, large=50 a second, within 15 percent
    And 9 of 10 refusals of the mesh bench came within 50 ms, all NOT RUN and with a retry time
    And the mesh bench made no more attempts than 111 percent of its calls

  Scenario: A group that floods the mesh takes nothing from another
    Given a mesh bench of two zones with weights flood=1, steady=1
    When group flood of the mesh bench offers 700 and group steady 60 calls a second for 10 seconds
    Then every call of group steady is answered by the mesh bench
    And 9 of 10 refusals of the mesh bench came within 50 ms, all NOT RUN and with a retry time
    And the mesh bench made no more attempts than 111 percent of its calls

  Scenario: A zone that has more calls than slots spills over to the other one
    Given a mesh bench of two zones with weights all=1
    When each group of the mesh bench offers 120 calls a second to zones "a" for 10 seconds
    Then the mesh bench refuses nothing
    And zone b of the mesh bench got between 25 and 50 percent of the calls

  Scenario: A zone that has slots left keeps its calls
    Given a mesh bench of two zones with weights all=1
    When each group of the mesh bench offers 40 calls a second to zones "a" for 10 seconds
    Then zone b of the mesh bench got between 0 and 0 percent of the calls

  Scenario: A cold back end is ramped up at full load
    Given a mesh bench of two zones with weights all=1
    When each group of the mesh bench offers 150 calls a second to zones "ab" for 5 seconds
    And a cold agent joins zone a of the mesh bench
    And each group of the mesh bench offers 150 calls a second to zones "ab" for 20 seconds
    Then the cold agent got less than 10 percent of zone a's calls in its first 2 seconds
    And the cold agent got at least 25 percent of zone a's calls in its last 5 seconds
    And the mesh bench refuses nothing

  Scenario: A back end that fails at once does not draw the calls
    Given a mesh bench of two zones with weights all=1
    When an agent of zone a of the mesh bench fails every call at once
    And each group of the mesh bench offers 80 calls a second to zones "ab" for 20 seconds
    Then fewer than 5 percent of the mesh bench's calls failed

  Scenario: A back end that has become slow gets few calls
    Given a mesh bench of two zones with weights all=1
    When an agent of zone a of the mesh bench becomes 10 times slower
    And each group of the mesh bench offers 80 calls a second to zones "ab" for 20 seconds
    Then the mesh bench refuses nothing
    And the slow agent of the mesh bench got less than 10 percent of the calls

  Scenario Outline: Who names less time than is usual has waited for the difference
    Given callers of a route of whom <usual> in 100 name 2500 ms, and the others any time below
    When a caller names <named> ms
    Then it is taken to have waited for <waited> ms

    Examples:
      | usual | named | waited |
      | 100   | 2500  | 0      |
      | 100   | 1900  | 600    |
      | 50    | 1900  | 600    |
      | 50    | 4000  | 0      |
      | 5     | 1900  | 0      |

  Scenario: What is usual follows the callers
    Given callers of a route of whom 100 in 100 name 2500 ms, and the others any time below
    When 1500 callers name 1000 ms
    And a caller names 900 ms
    Then it is taken to have waited for 100 ms

  Scenario Outline: Callers of different patience who come back are told by the gap
    Each caller of a site waited for a time of its own, 85 to 100 in 100 of the longest. No time was
    usual, so that nobody counted as one that had come back: a third of the calls under an overload,
    past their target, took the slots of fresh ones, and half of the answers were late.
    Given callers of a route with a patience of 1770 to 2084 ms, of whom <back> in 100 come back after a third of it
    When a caller names <named> ms
    Then it is taken to have waited for <least> to <most> ms

    Examples:
      | back | named | least | most |
      | 0    | 1800  | 0     | 0    |
      | 0    | 1300  | 550   | 700  |
      | 50   | 1775  | 0     | 0    |
      | 50   | 2084  | 0     | 0    |
      | 50   | 1300  | 550   | 700  |
      | 70   | 1200  | 650   | 800  |

  Scenario Outline: Times without a gap say nothing of who has come back
    Given callers of a route with a patience of 1 to 2500 ms, of whom 0 in 100 come back after a third of it
    When a caller names <named> ms
    Then it is taken to have waited for 0 to 0 ms

    Examples:
      | named |
      | 2400  |
      | 1000  |
      | 300   |

  Scenario: A caller that comes back leaves the queue to the fresh
    Given a queue full of calls of 100 ms, in which a fresh call would have to wait for 60 ms
    Then a call whose target is 300 ms away is taken
    And a call whose target is past is refused
