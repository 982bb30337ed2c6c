Feature: Proxies and relays keep tenants' limits over the whole fleet

  Background:
    Given 60 proxies and 5 relays, and 6 tenants of unequal size with limits of 1.6 times their usual

  Scenario: A tenant that sends seven times its usual gets its limit, and takes nothing from others
    When 6 seconds pass in the fleet of limits
    And the tenants "0, 5" send 7 times their usual for 8 seconds
    Then no tenant has passed its limit by more than the rule allows
    And the tenants "0, 5" got at least 90 percent of their limits in the last 5 seconds
    And the tenants "0, 5" got at least 90 percent of what they were owed each second
    And at most 1 in 1000 calls of the tenants "1, 2, 3, 4" was refused

  Scenario: Whoever is below its limit is refused nothing, wherever its callers are
    When 6 seconds pass in the fleet of limits
    And all callers of zone "a" move to the others for 5 seconds
    And all callers of zone "b" move to the others for 5 seconds
    Then at most 2 in 1000 calls of the tenants "0, 1, 2, 3, 4, 5" were refused below their limits

  Scenario: All callers of a tenant come by one proxy
    When 6 seconds pass in the fleet of limits
    And the tenant "2" sends by one proxy alone for 6 seconds
    Then at most 60 in 1000 calls of the tenants "2" were refused below their limits
    And the tenant "2" was refused nothing in the last 4 seconds

  Scenario: Equal parts for all proxies, as when none hears of another, refuse callers that move
    When the proxies hear nothing of each other for 12 seconds
    And all callers of zone "a" move to the others for 5 seconds
    Then more than 20 in 1000 calls of the tenants "0, 1, 2, 3, 4, 5" were refused below their limits
    And no tenant has passed its limit by more than the rule allows

  Scenario: A limit that is put far down binds within a window
    When 6 seconds pass in the fleet of limits
    And the limits of the tenants "0, 5" are put down to a tenth
    And 2 seconds pass in the fleet of limits
    And the tenants "0, 5" send 1 times their usual for 10 seconds
    Then the tenants "0, 5" kept their limits in the last 10 seconds

  Scenario: A relay is killed while a tenant is hot
    When 6 seconds pass in the fleet of limits
    And the tenants "0, 5" send 7 times their usual for 2 seconds
    And a relay of the fleet of limits is killed
    And 3 seconds pass in the fleet of limits
    And the relays of the fleet of limits that were killed start again
    And 6 seconds pass in the fleet of limits
    Then no tenant has passed its limit by more than the rule allows
    And at most 2 in 1000 calls of the tenants "1, 2, 3, 4" were refused below their limits

  Scenario: The relays are cut in two while a tenant is hot, and the cut heals
    When 6 seconds pass in the fleet of limits
    And 2 relays of the fleet of limits are cut off from 3
    And 1 seconds pass in the fleet of limits
    And the tenants "0, 5" send 7 times their usual for 7 seconds
    And the cuts of the fleet of limits heal
    And 6 seconds pass in the fleet of limits
    Then no tenant has passed its limit by more than the rule allows
    And the tenants "0, 5" got at least 80 percent of their limits in the last 5 seconds
    And all relays have told that limits are parted, and that they are whole again

  Scenario: No proxy reaches a relay while tenants are hot, and the cut heals
    When 6 seconds pass in the fleet of limits
    And no proxy reaches a relay of the fleet of limits
    And the tenants "0, 5" send 7 times their usual for 8 seconds
    And the cuts of the fleet of limits heal
    And 6 seconds pass in the fleet of limits
    Then no tenant has passed its limit by more than the rule allows

  Scenario Outline: Tenants have just become hot when no proxy reaches a relay any more
    Given the fleet of limits is drawn from seed <seed>
    When 6 seconds pass in the fleet of limits
    And the tenants "0, 2, 5" send 7 times their usual for <hot> seconds
    And no proxy reaches a relay of the fleet of limits
    And 8 seconds pass in the fleet of limits
    Then no tenant has passed its limit by more than the rule allows

    Examples:
      | seed | hot |
      | 1    | 0.4 |
      | 5    | 0.3 |

  Scenario: All is restarted while a tenant is hot
    When 6 seconds pass in the fleet of limits
    And the tenants "0, 5" send 7 times their usual for 6 seconds
    And all relays and proxies of the fleet of limits are killed and started again
    And 6 seconds pass in the fleet of limits
    Then no tenant has passed its limit in any window since then by more than the rule allows

  Scenario: Any schedule of loss, delay, cuts and restarts
    Then in any schedule of the fleet of limits every tenant keeps its limit in every window

  Scenario: Without limits nobody says anything
    When no tenant of the fleet of limits has a limit
    And 3 seconds pass in the fleet of limits
    Then nothing was said in the fleet of limits in the last 2 seconds

  Scenario: The part of what is asked alone, without counting what ran, passes limits
    Given 60 proxies and 5 relays that go by the part of what is asked alone
    When 6 seconds pass in the fleet of limits
    And the tenants "0, 2" send 7 times their usual for 8 seconds
    Then the tenants "0, 2" have passed their limits by more than the rule allows

  Scenario: Leases of rates keep limits, and refuse small tenants that are far below theirs
    Given 60 proxies and 5 relays that lease out rates
    When 6 seconds pass in the fleet of limits
    And the tenants "0, 2" send 7 times their usual for 8 seconds
    Then no tenant has passed its limit by more than the rule allows
    And more than 20 in 1000 calls of the tenants "4, 5" were refused below their limits
