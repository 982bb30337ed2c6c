Feature: The test run counts what it ran
  A pass must mean that something was run and that all of it passed.

  Scenario Outline: Counting one folder's report
    Given a report with a scenario that is "<status>"
    And the known red list "<known red>"
    When the report is counted
    Then <passed> passed and <failed> failed

    Examples:
      | status  | known red | passed | failed |
      | passed  |           | 1      | 0      |
      | failed  |           | 0      | 1      |
      | error   |           | 0      | 1      |
      | skipped |           | 0      | 1      |
      | skipped | scenario  | 0      | 0      |
      | failed  | scenario  | 0      | 1      |

  Scenario: An empty report is a failure
    Given a report without scenarios
    When the report is counted
    Then 0 passed and 1 failed

  Scenario: A run that ends badly without a failed scenario is a failure
    Given a report with a scenario that is "passed"
    And a run that ended with status 1
    When the report is counted
    Then 1 passed and 1 failed

  Scenario: The known red list holds three lines at most
    Given a known red file of 4 lines
    Then reading it gives a reason

  Scenario: A known red line that meets no scenario is a failure
    Given a known red file of 1 lines
    Then checking it against a run without that scenario fails

  Scenario: The page of log events matches the code
    Then docs/EVENTS.md is what the lab prints
