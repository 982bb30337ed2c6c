Feature: A full disk costs the source nothing that it accepted

  Scenario: A source whose disk is full lives on, and takes writes when there is room again
    Given a source of one replica in a process of its own
    When an operator gives that source 3 services, one after the other
    And that source's disk is full
    And an operator gives that source one more service
    Then that operator is told that the outcome is unknown
    And that source still runs and logs 1021
    When that source's disk has room again
    Then that source has the 3 services, in the version that was answered or a later one
    And that source logs 1022
    When that operator sends the one more service again
    Then that source has it once

  Scenario: A disk that hangs does not hold up a stop
    Given a disk that takes a write and never ends it
    When a writer of that disk is cancelled within the write
    Then the writer has ended, and reported nothing as written
