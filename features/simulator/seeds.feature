Feature: A failing seed says how to repeat it

  Scenario: A failing seed prints its faults, shrunk, and the command that repeats it
    When the simulator command runs with "--first 1 --seeds 1 --break whole-batch"
    Then its exit status is 1
    And it prints "seed 1 FAILED"
    And it prints "fault: none is needed"
    And it prints "finding: partial-version"
    And the command that it prints fails with the same findings

  Scenario: A passing seed prints its faults and its digest
    When the simulator command runs with "--first 1 --seeds 1"
    Then its exit status is 0
    And it prints "digest "
    And it prints "1 passed, 0 failed"

  Scenario Outline: Only the faults that a failure needs are kept
    Given a run of three faults that fails whenever fault <needed> strikes
    When the simulated failure is shrunk
    Then the faults kept are "<kept>"

    Examples:
      | needed  | kept |
      | 0       | 0    |
      | 2       | 2    |
      | 0 and 2 | 0,2  |
      | none    | none |
