Feature: The steps of a recovery are read from the logs of all processes

  Scenario: Each step counts from the loss, and once a process
    Given the logs of a control process and two nodes that start 1, 2 and 3 seconds after a loss
    Then the timeline says that nodes started after 2 seconds at first and 3 at most
    And it says that nodes had routes after 2.5 seconds at first and 4 at most
    And what was before the loss counts for nothing
