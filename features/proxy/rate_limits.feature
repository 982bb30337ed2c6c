Feature: Proxies and relays enforce tenants' rate limits across the fleet

  Background:
    Given 60 proxies and 5 relays, and 6 tenants of unequal size with limits of 1.6 times their usual rate

  Scenario: A tenant that sends seven times its usual rate gets its limit and does not affect others
    When 6 seconds pass in the rate limit fleet
    And the tenants "0, 5" send 7 times their usual rate for 8 seconds
    Then no tenant has exceeded its limit by more than the allowed excess
    And the tenants "0, 5" got at least 90 percent of their limits in the last 5 seconds
    And the tenants "0, 5" got at least 90 percent of what one token bucket would admit each second
    And at most 1 in 1000 calls of the tenants "1, 2, 3, 4" were refused

  Scenario: A tenant below its limit is not refused, wherever its callers are
    When 6 seconds pass in the rate limit fleet
    And all callers of zone "a" move to the other zones for 5 seconds
    And all callers of zone "b" move to the other zones for 5 seconds
    Then at most 2 in 1000 calls of the tenants "0, 1, 2, 3, 4, 5" were refused below their limits

  Scenario: All calls of a tenant arrive at one proxy
    When 6 seconds pass in the rate limit fleet
    And the tenant "2" sends all its calls to one proxy for 6 seconds
    Then at most 60 in 1000 calls of the tenants "2" were refused below their limits
    And no call of the tenant "2" was refused in the last 4 seconds

  Scenario: Partitioned proxies with equal parts of the limits refuse callers that move
    When the proxies are partitioned from the relays for 12 seconds
    And all callers of zone "a" move to the other zones for 5 seconds
    Then more than 20 in 1000 calls of the tenants "0, 1, 2, 3, 4, 5" were refused below their limits
    And no tenant has exceeded its limit by more than the allowed excess

  Scenario: A lowered limit takes effect within a window
    When 6 seconds pass in the rate limit fleet
    And the limits of the tenants "0, 5" are lowered to a tenth
    And 2 seconds pass in the rate limit fleet
    And the tenants "0, 5" send 1 times their usual rate for 10 seconds
    Then the tenants "0, 5" kept their limits in the last 10 seconds

  Scenario: A relay is killed while a tenant exceeds its limit
    When 6 seconds pass in the rate limit fleet
    And the tenants "0, 5" send 7 times their usual rate for 2 seconds
    And a relay of the rate limit fleet is killed
    And 3 seconds pass in the rate limit fleet
    And the killed relays of the rate limit fleet restart
    And 6 seconds pass in the rate limit fleet
    Then no tenant has exceeded its limit by more than the allowed excess
    And at most 2 in 1000 calls of the tenants "1, 2, 3, 4" were refused below their limits

  Scenario: The relays are partitioned while a tenant exceeds its limit, and the partition heals
    When 6 seconds pass in the rate limit fleet
    And 2 relays of the rate limit fleet are partitioned from the other 3
    And 1 seconds pass in the rate limit fleet
    And the tenants "0, 5" send 7 times their usual rate for 7 seconds
    And the partitions of the rate limit fleet heal
    And 6 seconds pass in the rate limit fleet
    Then no tenant has exceeded its limit by more than the allowed excess
    And the tenants "0, 5" got at least 80 percent of their limits in the last 5 seconds
    And all relays have logged that limits are partitioned, and then that they are shared again

  Scenario: No proxy reaches a relay while tenants exceed their limits, and the partition heals
    When 6 seconds pass in the rate limit fleet
    And all proxies of the rate limit fleet are partitioned from the relays
    And the tenants "0, 5" send 7 times their usual rate for 8 seconds
    And the partitions of the rate limit fleet heal
    And 6 seconds pass in the rate limit fleet
    Then no tenant has exceeded its limit by more than the allowed excess

  Scenario Outline: Tenants have just begun to exceed their limits when all proxies lose their relays
    Given the rate limit fleet uses seed <seed>
    When 6 seconds pass in the rate limit fleet
    And the tenants "0, 2, 5" send 7 times their usual rate for <seconds> seconds
    And all proxies of the rate limit fleet are partitioned from the relays
    And 8 seconds pass in the rate limit fleet
    Then no tenant has exceeded its limit by more than the allowed excess

    Examples:
      | seed | seconds |
      | 1    | 0.4     |
      | 5    | 0.3     |

  Scenario: All relays and proxies restart while a tenant exceeds its limit
    When 6 seconds pass in the rate limit fleet
    And the tenants "0, 5" send 7 times their usual rate for 6 seconds
    And all relays and proxies of the rate limit fleet are restarted
    And 6 seconds pass in the rate limit fleet
    Then no tenant has exceeded its limit in any window since then by more than the allowed excess

  Scenario: Any schedule of message loss, delay, partitions and restarts
    Then in any schedule of the rate limit fleet every tenant keeps its limit in every window

  Scenario: Without limits no messages are sent
    When no tenant of the rate limit fleet has a limit
    And 3 seconds pass in the rate limit fleet
    Then no message was sent in the rate limit fleet in the last 2 seconds

  Scenario: Admitting a fraction of the demand without counting use exceeds the limits
    Given 60 proxies and 5 relays that admit a fraction of the demand without counting use
    When 6 seconds pass in the rate limit fleet
    And the tenants "0, 2" send 7 times their usual rate for 8 seconds
    Then the tenants "0, 2" have exceeded their limits by more than the allowed excess

  Scenario: Leased rates keep the limits, but refuse small tenants that are far below theirs
    Given 60 proxies and 5 relays that lease rates
    When 6 seconds pass in the rate limit fleet
    And the tenants "0, 2" send 7 times their usual rate for 8 seconds
    Then no tenant has exceeded its limit by more than the allowed excess
    And more than 20 in 1000 calls of the tenants "4, 5" were refused below their limits
