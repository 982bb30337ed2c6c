Feature: Callers are known by their tenants' keys

  Scenario Outline: What a caller shows decides at once
    Given a proxy whose configuration has the tenants "north" and "south", proved current
    When a caller shows <header> on the route "desk"
    Then the call <ends>

    Examples:
      | header                                    | ends                                                       |
      | "Token north-key"                         | goes to the back end for "north"                           |
      | "token   north-key"                       | goes to the back end for "north"                           |
      | "TOKEN south-key"                         | goes to the back end for "south"                           |
      | "  Token north-key  "                     | goes to the back end for "north"                           |
      | nothing                                   | is refused as "unauthenticated": the request has no API key     |
      | "Token lost-key"                          | is refused as "unauthenticated": the API key is unknown |
      | "Token NORTH-KEY"                         | is refused as "unauthenticated": the API key is unknown |
      | "Bearer north-key"                        | is refused as "unauthenticated": the API key is malformed |
      | "north-key"                               | is refused as "unauthenticated": the API key is malformed |
      | "Token"                                   | is refused as "unauthenticated": the API key is malformed |
      | "Token north-key south-key"               | is refused as "unauthenticated": the API key is malformed |
      | "Token north-key,south-key"               | is refused as "unauthenticated": the API key is unknown |
      | "Token north-key" and "Token south-key"   | is refused as "unauthenticated": the request has more than one API key |
      | "Token north-key" and "Token north-key"   | is refused as "unauthenticated": the request has more than one API key |
      | a key of 100000 bytes                     | is refused as "unauthenticated": the API key is malformed |

  Scenario: Any header gets a defined answer
    Given any bytes as the header of a key, the answer is a tenant or a refusal that doesn't repeat them

  Scenario: The line on a refusal by a limit names the tenant whose limit it was
    Losses could not be told by tenant: only the reason's text said whose call was refused.
    Given a proxy whose configuration has a limit of 1 call for the tenant "north", proved current
    When a caller shows "Token north-key" on the route "desk" 50 times
    Then the last call is refused as "rate-limited", and its line names the tenant "north"
    When a caller shows "Token lost-key" on the route "desk"
    Then the last call is refused as "unauthenticated", and its line names no tenant

  Scenario: The key ends at the proxy, and no caller names its tenant
    Given a proxy whose configuration has the tenants "north" and "south", proved current
    When a caller shows "Token north-key" and the tenant "south" on the route "desk"
    Then the call goes to the back end for "north"
    And the back end gets neither a key nor a tenant from the caller

  Scenario: A public route asks for no key, passes none on and names no tenant
    Given a proxy whose configuration has the tenants "north" and "south", proved current
    When a caller shows nothing on the route "open"
    Then the call goes to the back end for ""
    When a caller shows "Token north-key" and the tenant "south" on the route "open"
    Then the call goes to the back end for ""
    And the back end gets neither a key nor a tenant from the caller

  Scenario: Without tenants the header is the back end's
    Given a proxy whose configuration has no tenants, proved current
    When a caller shows "Token north-key" on the route "desk"
    Then the call goes to the back end for ""
    And the back end gets the header "Token north-key"

  Scenario: A key without a scheme
    Given a key header "x-api-key" without a scheme
    Then the header "north-key" is the key of "north"

  Scenario Outline: A proxy that can't prove its configuration current
    A node that was cut off refused a key for good that had been handed out meanwhile, or let one in that had been taken
    away: it took what it held for what holds.
    Given a proxy whose configuration has the tenants "north" and "south", proved current
    And it lets keys in for <bound> seconds after a proof
    When <age> seconds pass without a proof
    And a caller shows <header> on the route "<route>"
    Then the call <ends>

    Examples:
      | bound | age | header            | route | ends                                                   |
      | 0     | 60  | "Token north-key" | desk  | goes to the back end for "north"                       |
      | 4     | 3.9 | "Token north-key" | desk  | goes to the back end for "north"                       |
      | 4     | 4   | "Token north-key" | desk  | is refused as "stale" with a time to come back         |
      | 4     | 60  | nothing           | open  | goes to the back end for ""                            |
      | 0     | 7   | "Token lost-key"  | desk  | is refused as "unauthenticated": the API key is unknown |
      | 0     | 8   | "Token lost-key"  | desk  | is refused as "stale" with a time to come back         |
      | 0     | 8   | nothing           | desk  | is refused as "stale" with a time to come back         |

  Scenario: A proxy that has just started lets no key in by a table that was never proved
    Given a proxy whose configuration has the tenants "north" and "south", not yet proved
    And it lets keys in for 4 seconds after a proof
    When a caller shows "Token north-key" on the route "desk"
    Then the call is refused as "stale" with a time to come back

  Scenario: A key that was taken away is out of use for the next call
    Given a proxy whose configuration has the tenants "north" and "south", proved current
    When a caller shows "Token north-key" on the route "desk"
    Then the call goes to the back end for "north"
    When the keys of "north" become "other-key"
    And a caller shows "Token north-key" on the route "desk"
    Then the call is refused as "unauthenticated": the API key is unknown
    When a caller shows "Token other-key" on the route "desk"
    Then the call goes to the back end for "north"

  Scenario: A key that moves counts for its new tenant at once
    Given a proxy whose configuration has the tenants "north" and "south", proved current
    When "north-key" moves from "north" to "south"
    And a caller shows "Token north-key" on the route "desk"
    Then the call goes to the back end for "south"

  Scenario: A tenant that is deleted takes its keys along, and the last one the need of a key
    Given a proxy whose configuration has the tenants "north" and "south", proved current
    When the tenant "north" is deleted
    And a caller shows "Token north-key" on the route "desk"
    Then the call is refused as "unauthenticated": the API key is unknown
    When the tenant "south" is deleted
    And a caller shows nothing on the route "desk"
    Then the call goes to the back end for ""

  Scenario: A change of tenants builds no route, and a change of routes no tenant
    Given 1000 routes beside 72 tenants with two keys each
    Then a new key of one tenant leaves every route's entry as it is
    And a new route leaves the tenants' table as it is

  Scenario: The tenant's priority goes before the route's
    Given any priorities of routes and tenants, calls are ranked by the tenant and then by the route
    And tenants of one priority leave the routes' ranks as they are
    And a call without a tenant has its route's rank

  Scenario: An agent queues a call by its tenant's priority and its route
    Given a proxy whose configuration has the tenants "north" and "south", proved current
    When a caller shows "Token south-key" on the route "desk"
    Then the call's group is "priority-6/desk"
    When a caller shows "Token north-key" on the route "desk"
    Then the call's group is "priority-2/desk"

  Scenario: The agent names the tenant to the back end, whatever else came
    Given a call for "north" whose headers name the tenant "south"
    Then the agent's request names the tenant "north" alone
    And a call without a tenant names none

  Scenario: Operators see tenants and refused keys, and no key
    Given a proxy whose configuration has the tenants "north" and "south", proved current
    When a caller shows "Token lost-key" on the route "desk"
    Then the proxy's log tells of 2 tenants with 2 keys, and why the key was refused
    And no line of the log holds a key or its digest
    When a caller shows "Token north-key" on the route "desk"
    And the call's time is over
    Then the line on the call's end names the tenant "north"
    When a caller shows nothing on the route "open"
    And the call's time is over
    Then the line on the call's end names no tenant

  Scenario: A proxy takes the header, the word before the key and the bound from its settings
    Given settings of a proxy with the header "X-Key", the word "Token" and a bound of 4000 ms
    Then its core reads keys so, lets them in for 4 seconds and passes neither key nor tenant on

  Scenario: A bound that no proof can meet is refused
    Then settings of a proxy with a bound of 500 ms and a probe each 500 ms have a clash

  Scenario: A caller without a key is told which scheme is asked for
    Then the answer to an unknown key names the scheme "token", any other refusal none
