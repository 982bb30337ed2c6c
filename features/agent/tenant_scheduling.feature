Feature: Tenants share a group's queue by their rates
  Guards against one tenant that exceeds its usual rate and delays or displaces the calls of others.

  Scenario: A tenant with few calls is not delayed by one with many
    Given an agent queue of one route with 2 slots and tenants hot=10, small=1
    When tenant hot has 20 calls waiting and tenant small offers one
    Then the call of tenant small is the next or the one after it to start

  Scenario: Backlogged tenants are served by their rates
    Then backlogged tenants are served by their rates to within one call

  Scenario: Only the demand of a hot tenant beyond its share is refused
    Given an agent queue of one route with 5 slots and tenants hot=10, large=10, middle=5, small=1
    When calls of 120 ms with 300 ms to their target arrive for 20 s, at 7 times the rate of hot and at the rate of the others
    Then at least 95 percent of the calls of large, middle and small met their target
    And tenant hot was served at least 10 calls a second

  Scenario: No tenant starves when all exceed their rates
    Given an agent queue of one route with 5 slots and tenants large=30, middle=5, small=1
    When calls of 120 ms with 300 ms to their target arrive for 20 s, at twice the rate of each
    Then each tenant had at least half the overall ratio of its calls served

  Scenario: A call of a hot tenant is evicted from a full queue for another tenant
    Given an agent queue of one route with 1 slots and tenants hot=1, small=1
    When tenant hot fills the queue and tenant small offers one
    Then the newest waiting call of tenant hot was evicted with a retry time
    And a further call of tenant hot is refused

  Scenario: Calls without a tenant start in arrival order
    Given an agent queue of one route with 1 slots and tenants none
    When 10 calls without a tenant wait
    Then they start in arrival order

  Scenario: The configured tenant rates apply to the queue
    When the configuration has tenants hot=3, small=1 and both have 30 calls waiting for 20 answers
    Then tenant hot had about 3 of 4 attempts
