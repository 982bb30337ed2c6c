@fleet
Feature: Instances leave while the platform's processes are stopped, killed and changed
  Instances leave by a report or by their end, and serve on for seconds. Reports are late and repeated, health responses
  may be wrong. Strikes come in series and overlap.
  Fresh seeds: behave features/platform/leave_soak.feature -D seed=N -D rounds=N -D nodes=N

  Scenario: Series that overlap, beside instances that leave
    Given five control machines and 5 nodes whose instances leave, seed 21
    When 2 rounds of series that overlap strike them
    Then each request that was read is answered, and every other promise held
