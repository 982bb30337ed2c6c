Feature: Logs never hold a process up, and their volume is bounded

  Scenario: A pipe that nobody reads costs lines, not time
    Given a log stream to a pipe that nobody reads
    When 20000 lines are written to it
    Then writing took no longer than the test's patience
    And the stream holds no more than its bound
    When the pipe is read again and one more line is written
    Then whole lines come out of it, and one that tells how many were dropped

  Scenario: Every process follows the same requests
    Given decision logs of 10 percent on two processes
    Then both follow the same requests, about a tenth of them

  Scenario: Failures are always written up to the rate, and counted beyond it
    Given a decision log with 10 failures a second and 20 at once
    When 100 requests fail at one moment
    Then 20 lines are written
    When a second later one more fails
    Then its line comes with one that tells of 80 left out
    When half a second after that 100 more fail
    Then 14 lines are written
    When a fifth of a second after that one more fails
    Then 1 lines are written
    When a second after that one more fails
    Then its line comes with one that tells of 86 left out
