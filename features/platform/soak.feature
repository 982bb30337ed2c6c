@fleet
Feature: The platform's processes, struck at random from outside
  Processes are killed, paused, stopped and told to reload; control machines lose their disks, or give way to
  others at new addresses. Fresh seeds: behave features/platform/soak.feature -D seed=N -D rounds=N

  Scenario: A short soak
    Given five control machines and four nodes of the platform on "127.77.1", seed 1
    When 2 rounds of drawn faults strike them under calls and changes
    Then every promise to callers and operators held
