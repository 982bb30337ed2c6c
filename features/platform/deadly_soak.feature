@fleet
Feature: Deadly requests while processes are stopped, killed, paused and changed
  Requests that end each instance that begins them come again and again at nodes drawn at random, instances end by
  themselves, and series of strikes overlap. Fresh seeds:
  behave features/platform/deadly_soak.feature -D seed=N -D rounds=N -D nodes=N

  Scenario: Series that overlap, beside deadly requests
    Given five control machines and 6 nodes whose instances end under deadly requests, seed 1
    When 2 rounds of series that overlap strike them
    Then each request that was read is answered, and every other promise held
