Feature: The shipped cores keep every rule under drawn faults, and a failing seed says how to repeat it

  Scenario Outline: A hundred fixed seeds of <deployment> break no rule
    When the simulator runs seeds 1 to 100 of "<deployment>"
    Then no seed broke a rule
    And the seeds drew every kind of fault
    And seeds 1 to 6 give the same digests when they run again

    Examples:
      | deployment |
      | koszyk     |
      | results    |

  Scenario Outline: Every pair of faults on <deployment> breaks no rule
    When the simulator runs the first seed of "<deployment>" that draws each pair of faults, past seed 100
    Then no seed broke a rule
    And every pair of faults was drawn, here or in seeds 1 to 100

    Examples:
      | deployment |
      | koszyk     |
      | results    |

  Scenario Outline: Every mechanism of <deployment> that is switched off is noticed within the fixed seeds
    When each mechanism of "<deployment>" is switched off over seeds 1 to 100
    Then every mechanism has a failing seed

    Examples:
      | deployment |
      | koszyk     |
      | results    |

  Scenario Outline: A seed of <deployment> names one run, however Python hashes strings
    When seeds 1 to 6 of "<deployment>" run in processes of the hash seeds 1 and 2
    Then both processes give the same digests

    Examples:
      | deployment |
      | koszyk     |
      | results    |

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
