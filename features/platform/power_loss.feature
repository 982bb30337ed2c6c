@fleet
Feature: What was acknowledged is read back after all control machines lose power
  All lose power at one moment amid changes on slow and full disks, up to two lose their disks.
  Fresh seeds: behave features/platform/power_loss.feature -n "drawn moments" -D seed=N -D rounds=N

  # Guards against an acknowledged configuration that stays unreadable because a replica refuses a torn append.
  Scenario: An append is torn at one machine while two others lose their disks
    Given five control machines of the platform on recorded disks, seed 1
    When all lose power while one appends, whose append is torn, and two others lose their disks
    Then each time the newest acknowledged configuration was read back, and never an older one

  # Guards against a replica that refuses a log whose snapshot a loss of power took back.
  Scenario: A machine is killed as it renames a snapshot, and all lose power later
    Given five control machines of the platform on recorded disks, seed 1
    When one is killed as it renames a snapshot, all lose power later, and two others their disks
    Then each time the newest acknowledged configuration was read back, and never an older one

  # Guards against acknowledged changes lost by any draw of unsynced writes, also during a recovery.
  Scenario: All control machines lose power at drawn moments, and some their disks
    Given five control machines of the platform on recorded disks, seed 1
    When all lose power 2 times amid changes, and some their disks
    Then each time the newest acknowledged configuration was read back, and never an older one
