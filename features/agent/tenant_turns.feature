Feature: Tenants take turns within a group's queue
  One tenant that sends many times its usual fills the queue of each route it calls. The others, who
  ask for no more than ever, are not to wait behind it nor to be refused for it.

  Scenario: A tenant with few calls isn't held up by one with many
    Given an agent queue of one route with 2 slots and tenants hot=10, small=1
    When tenant hot has 20 calls waiting and tenant small offers one
    Then the call of tenant small is the next or the one after it to start

  Scenario: Backlogged tenants are served by their rates
    Then backlogged tenants are served within a call of their rates

  Scenario: What a hot tenant asks for beyond its part is what is refused
    Given an agent queue of one route with 5 slots and tenants hot=10, large=10, middle=5, small=1
    When calls of 120 ms with 300 ms to their target come for 20 s, at 7 times the rate of hot and at the rate of the others
    Then at least 95 in 100 calls of large, middle and small were answered in time
    And tenant hot was served at least 10 calls a second

  Scenario: Where all ask for too much nobody is starved
    Given an agent queue of one route with 5 slots and tenants large=30, middle=5, small=1
    When calls of 120 ms with 300 ms to their target come for 20 s, at twice the rate of each
    Then each tenant was served at least half as often for its calls as all were

  Scenario: A call of a hot tenant gives its place in a full queue to another's
    Given an agent queue of one route with 1 slots and tenants hot=1, small=1
    When tenant hot fills the queue and tenant small offers one
    Then the newest waiting call of tenant hot was given back with advice
    And a further call of tenant hot is refused

  Scenario: Without tenants calls start in the order in which they came
    Given an agent queue of one route with 1 slots and tenants none
    When 10 calls of no tenant wait
    Then they start in the order in which they came

  Scenario: The rates of the configuration's tenants reach the queue
    When the configuration has tenants hot=3, small=1 and both have 30 calls waiting for 20 answers
    Then tenant hot had about 3 of 4 attempts
