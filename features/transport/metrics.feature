Feature: Metrics say what the page for operators says

  Scenario: The page lists every metric of every role, and no other
    Then docs/operators/metrics.md lists exactly the metrics that the roles publish

  Scenario: A process without a group of sources publishes no level of one
    Then a scrape finds the group's feature level only where a source publishes it

  Scenario: Every event is counted under its number
    Given an admin listener
    And the count of event 1031 so far
    When an admin client sends data on an HTTP/2 stream that was never opened
    Then the admin listener logs 1031
    And /metrics counts one more event 1031

  Scenario: Connections at an HTTP listener are counted while they are open
    Given an admin listener
    When 3 admin clients are each answered and keep their connections
    Then /metrics shows 4 connections open at "admin"
    When the admin clients leave
    Then /metrics shows 1 connections open at "admin"

  Scenario Outline: The age of the configuration is the time since it was proved current
    Given a process whose configuration was proved current <proof>
    Then its metric of the configuration's age is <age>

    Examples:
      | proof          | age  |
      | 12 seconds ago | 12.0 |
      | never          | inf  |

  Scenario: Calls are counted by route, outcome and time
    When a call on route metrics-a is answered after 0.2 seconds and one is refused
    Then the histogram of route metrics-a holds one answered call below 0.25 s and one not run

  Scenario: However many routes there are, the number of series is bounded
    When calls on 10 routes more than the series limit are answered
    Then at least 10 of them are counted under other routes
