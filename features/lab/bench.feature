Feature: The experiments' own arithmetic and records

  Scenario: A line through exact points has their slope and no error
    Given bench sizes 10, 100 and 1000 with values 25, 205 and 2005
    When a bench line is fitted
    Then the bench line is 5 + 2 a size, with an error of 0
    And the bench line gives 64005 at 32000

  Scenario: The error of a slope is the textbook's
    Given bench sizes 1, 2, 3 and 4 with values 1, 3, 2 and 4
    When a bench line is fitted
    Then the bench line is 0.5 + 0.8 a size, with an error of 0.424264

  Scenario: Two points have a slope, and an error that is not known
    Given bench sizes 10 and 100 with values 25 and 205
    When a bench line is fitted
    Then the bench line is 5 + 2 a size, with an error that is not known

  Scenario: One size has no slope
    Given bench sizes 10 and 10 with values 25 and 26
    Then no bench line can be fitted

  Scenario: Quantiles come from the histogram, to three digits
    Given bench durations of 1 to 1000 ms
    Then their bench p50 is 500 ms, p99 990 ms and the longest 1000 ms, to 0.2 %

  Scenario: A change that some reader never got is not counted as quick
    Given bench readers that had a version 1, 2 and no seconds after it was accepted
    Then the bench durations are 1 and 2 seconds

  Scenario: A kept result says what was asked, which code ran, and each ratio's value
    Given a bench result with seed 7 and a ratio of 3 to 4
    When the bench result is written and read
    Then it holds seed 7, the commit and the ratio 0.75
    And the bench result is read as a curve of 2 batch delays

  Scenario: A ratio to a baseline of nothing is 0
    Given a bench result with seed 7 and a ratio of 3 to 0
    When the bench result is written and read
    Then it holds seed 7, the commit and the ratio 0.0

  Scenario: The same results are drawn as the same bytes
    Given kept bench results of batching, recovery and shares
    When the bench report is drawn twice
    Then 3 bench drawings are the same both times

  Scenario: A folder without results is said to have none
    When the bench report is drawn of an empty folder
    Then no bench drawing was made

  Scenario: Hollow nodes of one class have one scope in whatever process they are
    Given bench scopes of 4 services of 50 in 8 classes
    Then node 3 and node 11 have one bench scope, and the 8 classes differ
    And each bench scope holds the common services

  Scenario: Hollow agents are spread over all services
    Given bench scopes of 4 services of 50 in 8 classes
    When the bench agents of 102 nodes choose their services
    Then each of 51 services has 2 bench agents

  Scenario: The baseline pushes the whole set on every change to every subscriber
    Given a bench full push that holds version 5
    When two readers subscribe to the bench full push
    Then each is sent the whole set at version 5

  Scenario: A line is read at the target's size, its slope's error with it
    Given a kept bench line "relay memory" of 50 + 0.05 a node, with an error of 0.002
    When bench lines are read at 1000 nodes
    Then the bench value at the target is 100, with an error of 2

  Scenario: A line that was not measured is left out, not guessed
    Given a kept bench line "relay memory" of 50 + 0.05 a node, with an error of 0.002
    When bench lines of runs that are not kept are read at 1000 nodes
    Then there is no bench value at the target
