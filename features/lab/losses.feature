Feature: Where a day's worth was lost is told from its report and logs

  Scenario: Losses are told by measure, kind, window and step, the largest first
    Given the report of a day and the logs of its calls
    When the laboratory is asked where its worth was lost
    Then it names the largest part first, and the kind and window of the missed requests
    And it tells the step at which calls were lost, by window and route
    And it divides the time of an answered call into queue, work, nested calls and the path

  Scenario: Refusals by key, by limit and for an answer's link are told apart, and losses by tenant
    Given the report of a day and the logs of its calls
    And its callers show keys of tenants, some unknown, some of tenants at their limit
    When the laboratory is asked where its worth was lost
    Then it tells refusals by key, by limit and for the answer's link as steps of their own
    And it tells the calls of each tenant that were not served by step, the most first

  Scenario: Many tenants have a bounded number of rows
    Given the report of a day and the logs of its calls
    And 50 tenants had calls that were not served
    When the laboratory is asked where its worth was lost
    Then it has rows for the 20 tenants with most of them

  Scenario: Nothing is said of tenants where no call has one
    Given the report of a day and the logs of its calls
    When the laboratory is asked where its worth was lost
    Then it says nothing of tenants

  Scenario: A file without log lines is refused
    Given the report of a day and the logs of its calls
    When the laboratory is asked with a log that holds nothing
    Then it ends with a usage error that names the file
