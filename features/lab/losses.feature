Feature: Where a day's worth was lost is told from its report and logs

  Scenario: Losses are told by measure, kind, window and step, the largest first
    Given the report of a day and the logs of its calls
    When the laboratory is asked where its worth was lost
    Then it names the largest part first, and the kind and window of the missed requests
    And it tells the step at which calls were lost, by window and route
    And it divides the time of an answered call into queue, work, nested calls and the path

  Scenario: A file without log lines is refused
    Given the report of a day and the logs of its calls
    When the laboratory is asked with a log that holds nothing
    Then it ends with a usage error that names the file
