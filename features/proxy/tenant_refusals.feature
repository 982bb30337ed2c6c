Feature: A proxy refuses calls beyond a tenant's limit at once, and counts only calls that were run

  Scenario: Only the calls of the tenant that is at its limit are refused
    Given a proxy whose tenants "north" and "south" have a limit of 2 calls a second each
    When its relay tells it to admit no calls of "north"
    And a caller sends "Token north-key" to the route "desk"
    Then the call is refused as "rate-limited" with a retry time
    And the call is answered with status 429, is not run, and is counted for "north"
    When a caller sends "Token south-key" to the route "desk"
    Then the call goes to the back end for "south"
    When a caller sends no key to the route "open"
    Then the call goes to the back end for ""
    When its relay reports no tenant near its limit
    And a caller sends "Token north-key" to the route "desk"
    Then the call goes to the back end for "north"

  Scenario: A removed limit no longer applies
    Given a proxy whose tenants "north" and "south" have a limit of 2 calls a second each
    When its relay tells it to admit no calls of "north"
    And the limit of "north" is removed
    And a caller sends "Token north-key" to the route "desk"
    Then the call goes to the back end for "north"

  Scenario: Calls that were not run do not use up the limit
    # Otherwise retries of calls that an overloaded fleet refuses would use up the limit of a tenant
    # well below it. Without relay updates a proxy admits nine tenths of a limit.
    Given a proxy that gets no relay updates, with a limit of 20 calls per window
    When the proxy gets 30 calls that are then not run
    And the proxy gets 30 calls that are then run
    Then the proxy has admitted 48 calls
    And the proxy refuses the next call

  Scenario: A tenant at its limit has first requests admitted before late retries
    # Otherwise late retries take the place of first requests, which then become late retries
    # themselves.
    Given a tenant that sends twice as many calls as its relay admits
    When for 5 seconds each first request is followed by a late retry
    Then half of the first requests are admitted, and no late retry
    When its relay reports that no tenant is near its limit any more
    Then a late retry is admitted
