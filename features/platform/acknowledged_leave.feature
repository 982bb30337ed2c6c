@fleet
Feature: An acknowledged leave holds, whatever becomes of the process that has acknowledged it
  # Guards against a node that takes its instance for a ready one after a restart, by a report from before the leave or by
  # a wrong health response.

  Scenario Outline: An instance <leaves>, and <processes> killed right after the acknowledgement
    Given a control process and three nodes of the platform with instances that leave
    When an instance, whose health responses <health>, <leaves> under 6 callers
    And <processes> killed <delay> seconds after the acknowledgement, and started again
    And a report from before the leave arrives <late>
    Then each response to the leave came within 1 second, and it was acknowledged within 4 seconds
    And no request reached the instance later than 2 seconds after the acknowledgement and 3 seconds after its node's start
    And the other instances have served <share> requests

    Examples: Kills
      | leaves                    | health        | processes         | delay | late          | share                 |
      | says that it has ended    | turn negative | its node is       | 0.3   | 2.5 s late    | at least 95 of 100    |
      | says that it has ended    | stay positive | its node is       | 0.0   | 2.5 s late    | at least 95 of 100    |
      | says that it is draining  | stay positive | its node is       | 0.0   | never         | at least 95 of 100    |
      | says that it has ended    | stay positive | all processes are | 0.0   | 2.5 s late    | at least 25 of 100    |
      | says that it is draining  | stay positive | all processes are | 0.0   | 2.5 s late    | at least 25 of 100    |

  # Guards against an acknowledgement that is in the memory of a node alone, as no relay could be reached.
  Scenario Outline: An instance leaves while its node reaches no relay, and <processes> killed
    Given a control process and three nodes of the platform with instances that leave
    When the control process is <away>
    And an instance, whose health responses stay positive, <leaves> under 6 callers
    And <processes> killed <delay> seconds after the response, and started again
    And the instance repeats its leave until it is acknowledged
    And a report from before the leave arrives 5 s late
    Then the first response to the leave came within 1 second
    And no request reached the instance later than 2 seconds after the acknowledgement and 3 seconds after its node's start

    Examples:
      | away    | leaves                   | processes         | delay |
      | held up | says that it has ended   | all processes are | 0.3   |
      | held up | says that it is draining | all processes are | 0.3   |
      | killed  | says that it has ended   | its node is       | 0     |

  # Guards against calls to an instance that leaves while nothing can acknowledge it.
  Scenario: An instance leaves while its node reaches no relay, which is started again later
    Given a control process and three nodes of the platform with instances that leave
    When the control process is killed
    And an instance, whose health responses stay positive, says that it has ended under 6 callers
    Then the leave is refused for 3 seconds, and no request reaches the instance after 2 seconds
    When the control process is started again
    And the instance repeats its leave until it is acknowledged
    And its node is killed 0 seconds after the response, and started again
    And a report from before the leave arrives 2.5 s late
    Then no request reached the instance later than 2 seconds after the acknowledgement and 3 seconds after its node's start
