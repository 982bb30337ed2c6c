Feature: Proxies use warming endpoints by their rate, and only where warm ones do not suffice
  The service states 3.2 calls a second for a warming endpoint; its calls take 0.1 seconds.

  # Guards against calls that wait at a cold instance, or are refused there, while a warm one is free.
  Scenario: A warm endpoint that can respond in time gets the call
    Given 1 warm and 3 warming endpoints with 6 slots
    When 6 calls are sent, all in flight at once
    Then all of them go to warm endpoints

  # Guards against a warm endpoint that is overloaded while warming ones are unused.
  Scenario: Warming endpoints are used when warm ones are full
    Given 1 warm and 3 warming endpoints with 6 slots
    When 16 calls are sent, all in flight at once
    Then 10 to 13 of them go to warm endpoints
    And each warming endpoint gets 1 or 2 of them

  # Guards against a service that is not used at all after a loss of power.
  Scenario: All endpoints warm up
    Given 0 warm and 4 warming endpoints with 6 slots
    When 8 calls are sent, all in flight at once
    Then each warming endpoint gets 1 to 3 of them

  # Guards against endpoints that count as cold for good while no relay answers.
  Scenario: A state ends when its remaining time has passed
    Given 1 warm and 3 warming endpoints with 6 slots
    When 3 seconds pass without news of the endpoints
    And 24 calls are sent, all in flight at once
    Then 3 to 9 of them go to warm endpoints

  # Guards against a state that ends only when that of every endpoint has ended.
  Scenario: The warm-up of one endpoint ends before that of the others
    Given 1 warm and 2 warming endpoints with 6 slots
    When an answer says that the warm endpoint warms up for 1 second
    And 2 seconds pass without news of the endpoints
    And 6 calls are sent, all in flight at once
    Then all of them go to warm endpoints

  # Guards against a relay's older state that replaces that of an answer.
  Scenario: An answer states a newer warm-up than the relay
    Given 1 warm and 1 warming endpoints with 6 slots
    When an answer says that the warm endpoint warms up and another that the warming one is warm
    And 4 calls are sent, all in flight at once
    Then none of them go to warm endpoints

  # Guards against a change for services without a rate, which keep the ramp by age.
  Scenario: The service has no rate
    Given 1 warm and 3 warming endpoints with 6 slots of a service without a rate
    When 24 calls are sent, all in flight at once
    Then 3 to 9 of them go to warm endpoints

  # Guards against a rate that the installed configuration states and the balancer never hears of.
  Scenario: The rate comes from the configuration
    Then a proxy that installs a service with a rate balances its warming endpoints by it
