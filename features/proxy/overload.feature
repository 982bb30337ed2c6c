Feature: Under overload the mesh keeps serving at capacity and refuses the excess at once

  Scenario: A zone is lost at full load
    Given a mesh bench of two zones with weights small=1, middle=2, large=5
    When each group of the mesh bench offers 50 calls a second to zones "ab" for 10 seconds
    And the mesh bench loses zone b
    And each group of the mesh bench offers 50 calls a second to zones "a" for 20 seconds
    Then from second 2 after the loss the mesh bench answers at least 95 percent of zone a's capacity
    And the groups of the mesh bench are served small=10, middle=20, large=50 a second, within 15 percent
    And 9 of 10 refusals of the mesh bench came within 50 ms, all NOT RUN and with a retry time
    And the mesh bench made no more attempts than 111 percent of its calls

  Scenario: A group that floods the mesh does not affect another group
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

  Scenario: A cold back end is ramped up under full load
    Given a mesh bench of two zones with weights all=1
    When each group of the mesh bench offers 150 calls a second to zones "ab" for 5 seconds
    And a cold agent joins zone a of the mesh bench
    And each group of the mesh bench offers 150 calls a second to zones "ab" for 20 seconds
    Then the cold agent got less than 10 percent of zone a's calls in its first 2 seconds
    And the cold agent got at least 25 percent of zone a's calls in its last 5 seconds
    And the mesh bench refuses nothing

  Scenario: A back end that fails fast does not attract calls
    Given a mesh bench of two zones with weights all=1
    When an agent of zone a of the mesh bench fails every call at once
    And each group of the mesh bench offers 80 calls a second to zones "ab" for 20 seconds
    Then fewer than 5 percent of the mesh bench's calls failed

  Scenario: A back end that becomes slow gets few calls
    Given a mesh bench of two zones with weights all=1
    When an agent of zone a of the mesh bench becomes 10 times slower
    And each group of the mesh bench offers 80 calls a second to zones "ab" for 20 seconds
    Then the mesh bench refuses nothing
    And the slow agent of the mesh bench got less than 10 percent of the calls

  Scenario Outline: A timeout below the common one counts as a retry that has waited for the difference
    Given callers of a route of whom <common> in 100 send a timeout of 2500 ms, and the others a shorter one
    When a caller sends a timeout of <timeout> ms
    Then its prior wait is estimated as <estimate> ms

    Examples:
      | common | timeout | estimate |
      | 100    | 2500    | 0        |
      | 100    | 1900    | 600      |
      | 50     | 1900    | 600      |
      | 50     | 4000    | 0        |
      | 5      | 1900    | 0        |

  Scenario: The common timeout follows the callers
    Given callers of a route of whom 100 in 100 send a timeout of 2500 ms, and the others a shorter one
    When 1500 callers send a timeout of 1000 ms
    And a caller sends a timeout of 900 ms
    Then its prior wait is estimated as 100 ms

  Scenario Outline: Retries of callers with different timeouts are detected by a gap in the distribution
    Without a common timeout no call would count as a retry, and late retries would take the slots
    of first requests.
    Given callers of a route with timeouts of 1770 to 2084 ms, of whom <retrying> in 100 retry after a third of theirs
    When a caller sends a timeout of <timeout> ms
    Then its prior wait is estimated as <least> to <most> ms

    Examples:
      | retrying | timeout | least | most |
      | 0        | 1800    | 0     | 0    |
      | 0        | 1300    | 550   | 700  |
      | 50       | 1775    | 0     | 0    |
      | 50       | 2084    | 0     | 0    |
      | 50       | 1300    | 550   | 700  |
      | 70       | 1200    | 650   | 800  |

  Scenario Outline: Timeouts without a gap in their distribution count as first requests
    Given callers of a route with timeouts of 1 to 2500 ms, of whom 0 in 100 retry after a third of theirs
    When a caller sends a timeout of <timeout> ms
    Then its prior wait is estimated as 0 to 0 ms

    Examples:
      | timeout |
      | 2400    |
      | 1000    |
      | 300     |

  Scenario: A late retry gives way to first requests in the queue
    Given a full queue of calls of 100 ms each, with an expected wait of 60 ms
    Then a call with 300 ms to its latency target is queued
    And a call past its latency target is refused
