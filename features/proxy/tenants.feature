Feature: Callers are authenticated by their tenants' API keys

  Scenario Outline: A call is admitted or refused by its API key
    Given a proxy whose configuration has the tenants "north" and "south", confirmed as current
    When a caller sends <header> to the route "desk"
    Then the call <ends>

    Examples:
      | header                                  | ends                                                                   |
      | "Token north-key"                       | goes to the back end for "north"                                       |
      | "token   north-key"                     | goes to the back end for "north"                                       |
      | "TOKEN south-key"                       | goes to the back end for "south"                                       |
      | "  Token north-key  "                   | goes to the back end for "north"                                       |
      | no key                                  | is refused as "unauthenticated": the request has no API key            |
      | "Token lost-key"                        | is refused as "unauthenticated": the API key is unknown                |
      | "Token NORTH-KEY"                       | is refused as "unauthenticated": the API key is unknown                |
      | "Bearer north-key"                      | is refused as "unauthenticated": the API key is malformed              |
      | "north-key"                             | is refused as "unauthenticated": the API key is malformed              |
      | "Token"                                 | is refused as "unauthenticated": the API key is malformed              |
      | "Token north-key south-key"             | is refused as "unauthenticated": the API key is malformed              |
      | "Token north-key,south-key"             | is refused as "unauthenticated": the API key is unknown                |
      | "Token north-key" and "Token south-key" | is refused as "unauthenticated": the request has more than one API key |
      | "Token north-key" and "Token north-key" | is refused as "unauthenticated": the request has more than one API key |
      | a key of 100000 bytes                   | is refused as "unauthenticated": the API key is malformed              |

  Scenario: Any key header yields a tenant or a refusal
    Given any bytes in the key header, the result is a tenant or a refusal that does not repeat them

  Scenario: The log line on a rate-limited call names the tenant
    Without the tenant field, refused calls cannot be counted by tenant.
    Given a proxy whose configuration has a limit of 1 call for the tenant "north", confirmed as current
    When a caller sends "Token north-key" to the route "desk" 50 times
    Then the last call is refused as "rate-limited", and its log line names the tenant "north"
    When a caller sends "Token lost-key" to the route "desk"
    Then the last call is refused as "unauthenticated", and its log line names no tenant

  Scenario: The API key is not forwarded, and callers cannot choose their tenant
    Given a proxy whose configuration has the tenants "north" and "south", confirmed as current
    When a caller sends "Token north-key" and the tenant "south" to the route "desk"
    Then the call goes to the back end for "north"
    And the back end gets neither a key nor a tenant from the caller

  Scenario: A public route needs no key, forwards none and has no tenant
    Given a proxy whose configuration has the tenants "north" and "south", confirmed as current
    When a caller sends no key to the route "open"
    Then the call goes to the back end for ""
    When a caller sends "Token north-key" and the tenant "south" to the route "open"
    Then the call goes to the back end for ""
    And the back end gets neither a key nor a tenant from the caller

  Scenario: Without tenants the key header is forwarded to the back end
    Given a proxy whose configuration has no tenants, confirmed as current
    When a caller sends "Token north-key" to the route "desk"
    Then the call goes to the back end for ""
    And the back end gets the header "Token north-key"

  Scenario: A key without a scheme
    Given a key header "x-api-key" without a scheme
    Then the header "north-key" is the key of "north"

  Scenario Outline: A proxy whose configuration is not confirmed as current
    A partitioned proxy must neither refuse a key for good that it may not know yet, nor accept one
    for ever that may have been revoked.
    Given a proxy whose configuration has the tenants "north" and "south", confirmed as current
    And the proxy has a revocation bound of <bound> seconds
    When <age> seconds pass without a confirmation
    And a caller sends <header> to the route "<route>"
    Then the call <ends>

    Examples:
      | bound | age | header            | route | ends                                                    |
      | 0     | 60  | "Token north-key" | desk  | goes to the back end for "north"                        |
      | 4     | 3.9 | "Token north-key" | desk  | goes to the back end for "north"                        |
      | 4     | 4   | "Token north-key" | desk  | is refused as "stale" with a retry time                 |
      | 4     | 60  | no key            | open  | goes to the back end for ""                             |
      | 0     | 7   | "Token lost-key"  | desk  | is refused as "unauthenticated": the API key is unknown |
      | 0     | 8   | "Token lost-key"  | desk  | is refused as "stale" with a retry time                 |
      | 0     | 8   | no key            | desk  | is refused as "stale" with a retry time                 |

  Scenario: A proxy that has just started accepts no key before its configuration is confirmed
    Given a proxy whose configuration has the tenants "north" and "south", not yet confirmed
    And the proxy has a revocation bound of 4 seconds
    When a caller sends "Token north-key" to the route "desk"
    Then the call is refused as "stale" with a retry time

  Scenario: A revoked key is refused from the next call on
    Given a proxy whose configuration has the tenants "north" and "south", confirmed as current
    When a caller sends "Token north-key" to the route "desk"
    Then the call goes to the back end for "north"
    When the keys of "north" are replaced by "other-key"
    And a caller sends "Token north-key" to the route "desk"
    Then the call is refused as "unauthenticated": the API key is unknown
    When a caller sends "Token other-key" to the route "desk"
    Then the call goes to the back end for "north"

  Scenario: A key that moves to another tenant counts for it at once
    Given a proxy whose configuration has the tenants "north" and "south", confirmed as current
    When "north-key" moves from "north" to "south"
    And a caller sends "Token north-key" to the route "desk"
    Then the call goes to the back end for "south"

  Scenario: Deleting a tenant revokes its keys, and without tenants no key is needed
    Given a proxy whose configuration has the tenants "north" and "south", confirmed as current
    When the tenant "north" is deleted
    And a caller sends "Token north-key" to the route "desk"
    Then the call is refused as "unauthenticated": the API key is unknown
    When the tenant "south" is deleted
    And a caller sends no key to the route "desk"
    Then the call goes to the back end for ""

  Scenario: A change of tenants rebuilds no routes, and a change of routes no tenants
    Given 1000 routes beside 72 tenants with two keys each
    Then a new key of one tenant leaves all route entries unchanged
    And a new route leaves the tenant table unchanged

  Scenario: A tenant's priority takes precedence over the route's
    Given any priorities of routes and tenants, calls are ranked by tenant and then by route
    And tenants of equal priority do not change the ranks of routes
    And a call without a tenant has its route's rank

  Scenario: An agent queues a call by its tenant's priority and its route
    Given a proxy whose configuration has the tenants "north" and "south", confirmed as current
    When a caller sends "Token south-key" to the route "desk"
    Then the call's group is "priority-6/desk"
    When a caller sends "Token north-key" to the route "desk"
    Then the call's group is "priority-2/desk"

  Scenario: The agent sets the tenant header for the back end, whatever the caller sent
    Given a call for "north" whose headers name the tenant "south"
    Then the agent's request names the tenant "north" alone
    And a call without a tenant names none

  Scenario: The log shows tenants and refused calls, but never a key
    Given a proxy whose configuration has the tenants "north" and "south", confirmed as current
    When a caller sends "Token lost-key" to the route "desk"
    Then the proxy's log shows 2 tenants with 2 keys, and why the key was refused
    And no log line contains a key or its digest
    When a caller sends "Token north-key" to the route "desk"
    And the call times out
    Then the log line on the call's end names the tenant "north"
    When a caller sends no key to the route "open"
    And the call times out
    Then the log line on the call's end names no tenant

  Scenario: A proxy takes the key header, the scheme and the revocation bound from its settings
    Given proxy settings with the key header "X-Key", the scheme "Token" and a revocation bound of 4000 ms
    Then the proxy core reads keys from that header, accepts them for 4 seconds and forwards neither key nor tenant

  Scenario: A revocation bound that is not above the probe interval is refused
    Then proxy settings with a revocation bound of 500 ms and a probe interval of 500 ms clash

  Scenario: A caller without a key is told the required scheme
    Then the answer to an unknown key names the scheme "token", any other refusal none
