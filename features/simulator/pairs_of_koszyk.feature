@slow
Feature: Every pair of faults and every mechanism, by the shipped cores: koszyk

  Scenario Outline: Every pair of faults on <deployment> breaks no rule
    When the simulator runs the first seed of "<deployment>" that draws each pair of faults, past seed 100
    Then no seed broke a rule
    And every pair of faults was drawn, here or in seeds 1 to 100

    Examples:
      | deployment |
      | koszyk     |

  Scenario Outline: Every mechanism of <deployment> that is switched off is noticed within the fixed seeds
    When each mechanism of "<deployment>" is switched off over seeds 1 to 100
    Then every mechanism has a failing seed

    Examples:
      | deployment |
      | koszyk     |

  Scenario Outline: A seed of <deployment> names one run, however Python hashes strings
    When seeds 1 to 6 of "<deployment>" run in processes of the hash seeds 1 and 2
    Then both processes give the same digests

    Examples:
      | deployment |
      | koszyk     |
