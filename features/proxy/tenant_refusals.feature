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

  Scenario: What a tenant at its limit may do goes to calls that can be answered in time
    # Callers whom a limit had refused came back late, took the place of fresh ones, and these came
    # back late in their turn: a tenant over its limit got half of it in late answers.
    Given a tenant that asks for twice what its relay lets in
    When for 5 seconds each fresh call is followed by one that comes back late
    Then half of the fresh calls are let in, and none that comes back late
    When its relay tells that there is room again
    Then a call that comes back late is let in
