@fleet
Feature: Instances state limits and leaves while the platform's processes are stopped and changed
  Callers keep their connections while these are open; stops, kills, pauses, reloads and changes come in series and overlap.
  Fresh seeds: behave features/platform/statement_soak.feature -D seed=N -D rounds=N -D nodes=N

  Scenario: Series that overlap, beside instances that state limits and leaves
    Given five control machines and 4 nodes whose instances state limits and leaves, seed 11
    When 2 rounds of series that overlap strike them
    Then each request that was read is answered, and every other promise held
