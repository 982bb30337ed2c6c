@slow
Feature: The shipped cores keep every rule under drawn faults: koszyk

  Scenario Outline: A hundred fixed seeds of <deployment> break no rule
    When the simulator runs seeds 1 to 100 of "<deployment>"
    Then no seed broke a rule
    And the seeds drew every kind of fault
    And seeds 1 to 6 give the same digests when they run again

    Examples:
      | deployment |
      | koszyk     |
