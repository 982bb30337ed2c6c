@fleet
Feature: The platform's processes, struck at random from outside
  Processes are killed, paused, stopped and told to reload; control machines lose their disks, or give way to
  others at new addresses. Meanwhile an operator drains one zone after the other.
  Fresh seeds: behave features/platform/soak.feature -D seed=N -D rounds=N

  Scenario Outline: A short soak
    Given five control machines and four nodes of the platform, seed <seed>
    When <rounds> rounds of drawn faults strike them under calls and changes
    Then every promise to callers and operators held

    Examples: Drawn faults
      | seed | rounds |
      | 1    | 2      |

    Examples: Seeds that failed once
      | seed       | rounds | cause                                                                        |
      | 1168554297 | 1      | SIGHUP came to a process that was started in the same moment, before Python ran |
