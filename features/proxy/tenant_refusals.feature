Feature: A proxy refuses calls beyond a tenant's limit at once, and counts those that ran

  Scenario: Only the calls of the tenant that is at its limit are refused
    Given a proxy whose tenants "north" and "south" may make 2 calls a second each
    When its relay tells it to let in nothing of "north"
    And a caller shows "Token north-key" on the route "desk"
    Then the call is refused as "rate-limited" with a time to come back
    And the call is answered by 429, not run, and counted for "north"
    When a caller shows "Token south-key" on the route "desk"
    Then the call goes to the back end for "south"
    When a caller shows nothing on the route "open"
    Then the call goes to the back end for ""
    When its relay tells it of no tenant
    And a caller shows "Token north-key" on the route "desk"
    Then the call goes to the back end for "north"

  Scenario: A limit that is taken away binds no longer
    Given a proxy whose tenants "north" and "south" may make 2 calls a second each
    When its relay tells it to let in nothing of "north"
    And the limit of "north" is taken away
    And a caller shows "Token north-key" on the route "desk"
    Then the call goes to the back end for "north"

  Scenario: Calls that no back end ran don't fill a limit
    # A full fleet refuses calls, and their callers come again. Counted each time, a tenant well below
    # its limit was refused by it for as long as the fleet was full.
    # Out of touch, a proxy keeps to nine tenths of a limit.
    Given the limit of 20 calls in a window at a proxy that hears of no other
    When it is asked for 30 calls that are all not run
    And it is asked for 30 calls that are all run
    Then it has let 48 calls in
    And it refuses the next one
