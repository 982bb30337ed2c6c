Feature: Endpoints are soft state: kept by lease, the newer state wins, draining lasts for an incarnation
  Guards against calls to back ends that are gone or draining, and against back ends lost by mistake.

  Background:
    Given a mesh of the relays "relay-1" and "relay-2"
    And a proxy "proxy-1" at "relay-1" and a proxy "proxy-2" at "relay-2"
    And the agent "orders-1" registers at "relay-1" with incarnation 5

  Scenario: An endpoint reaches proxies at every relay
    When 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "ready"

  Scenario: A lease that is not renewed expires
    When 1 seconds pass at the relays
    And the agent "orders-1" renews as "ready"
    And 5.5 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "ready"
    When 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "gone"

  Scenario: A renewal after the lease has expired restores the endpoint
    When 8 seconds pass at the relays
    And the agent "orders-1" renews as "ready"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "ready"

  Scenario: An older incarnation is refused
    When the agent "orders-1" registers again at "relay-1" with incarnation 4
    And 1 seconds pass at the relays
    Then the agent "orders-1" is told that its lease is lost
    And the proxies "proxy-1, proxy-2" see incarnation 5 of "orders-1"

  Scenario: An incarnation that drained stays draining
    When the agent "orders-1" renews as "draining"
    And 1 seconds pass at the relays
    And the agent "orders-1" renews as "ready"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "draining"
    When the agent "orders-1" registers again at "relay-2" with incarnation 6
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "ready"

  Scenario: An endpoint whose agent stops as planned is removed at once
    When 1 seconds pass at the relays
    And the agent "orders-1" renews as "gone"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "gone"

  Scenario: The platform list marks a machine as draining, unless its incarnation is newer
    When the platform list of "relay-1" and "relay-2" shows "orders-1" of incarnation 4 as "leaving"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "ready"
    When the platform list of "relay-1" and "relay-2" shows "orders-1" of incarnation 5 as "leaving"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "draining"
    When the platform list of "relay-1" and "relay-2" shows "orders-1" of incarnation 5 as "live"
    And the agent "orders-1" renews as "ready"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "draining"

  Scenario: A machine listed as dead is draining while its lease is held, and gone when it expires
    When the platform list of "relay-1" and "relay-1" shows "orders-1" of incarnation 5 as "dead"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "draining"
    When 6 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "gone"

  Scenario: Endpoints of a killed relay stay for the grace period
    When 1 seconds pass at the relays
    And the relay "relay-1" is killed
    And 15 seconds pass at the relays
    Then the proxies "proxy-2" see "orders-1" as "ready"
    When 10 seconds pass at the relays
    Then the proxies "proxy-2" see "orders-1" as "gone"

  Scenario: An agent that moves to another relay within the grace period stays ready
    When 1 seconds pass at the relays
    And the relay "relay-1" is killed
    And 3 seconds pass at the relays
    And the agent "orders-1" registers at "relay-2" with the same incarnation
    And the agent "orders-1" renews for 40 seconds
    Then the proxy "proxy-2" has always seen "orders-1" as "ready"

  Scenario: Endpoints that do not return to a restarted relay expire after the grace period
    When 1 seconds pass at the relays
    And the relay "relay-1" is killed
    And the relay "relay-1" restarts
    And the agent "orders-2" registers at "relay-1" with incarnation 1
    And the agent "orders-2" renews for 15 seconds
    Then the proxies "proxy-2" see "orders-1" as "ready"
    And the proxies "proxy-2" see "orders-2" as "ready"
    When the agent "orders-2" renews for 10 seconds
    Then the proxies "proxy-2" see "orders-1" as "gone"
    And the proxies "proxy-2" see "orders-2" as "ready"

  Scenario: A silent cut between relays is detected, and missed changes are sent afterwards
    When 1 seconds pass at the relays
    And the link between "relay-1" and "relay-2" is cut silently
    And the agent "orders-1" renews as "draining"
    And the agent "orders-2" registers at "relay-1" with incarnation 1
    And the agent "orders-2" renews for 8 seconds
    Then the proxies "proxy-2" see "orders-1" as "ready"
    When all links are restored
    And the agent "orders-2" renews for 30 seconds
    Then the proxies "proxy-2" see "orders-2" as "ready"
    And the proxies "proxy-2" see "orders-1" as "gone"

  Scenario: A load in a renewal causes no update, and registrations at one time cause one
    When 1 seconds pass at the relays
    And the proxy "proxy-1" starts counting its endpoint updates
    And the agent "orders-1" renews 50 times with changing load
    And 1 seconds pass at the relays
    Then the proxy "proxy-1" received 0 more endpoint updates
    When 50 agents register at "relay-1" at once
    And 1 seconds pass at the relays
    Then the proxy "proxy-1" received 1 more endpoint updates

  Scenario: Agents' subscriptions receive configuration only
    Given an agent's subscription "agent-config" at "relay-1"
    When 1 seconds pass at the relays
    Then the subscription "agent-config" holds the configuration and received no endpoints

  Scenario: A single change is sent at once, and those shortly after it as one batch
    When 1 seconds pass at the relays
    And the proxy "proxy-2" starts counting its endpoint updates
    And the agent "orders-1" renews as "draining"
    And 0.02 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "draining"
    When the agent "orders-2" registers at "relay-1" with incarnation 1
    And the agent "orders-3" registers at "relay-1" with incarnation 1
    And 0.1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-3" as "ready"
    And the proxy "proxy-2" received 2 more endpoint updates

  Scenario: Updates of an endpoint may arrive in any order
    Then random updates of an endpoint merge to the same state in any order

  Scenario: The platform list is parsed, and an invalid one is refused
    Then platform lists are parsed into notices of leaving and dead machines, and invalid ones refused

  Scenario: Changes cannot be listed after their tombstones are removed
    Then an endpoint table that removed a tombstone cannot list the changes since before it

  # Guards against proxies that are not told, and updates to all of them at each report.
  Scenario: Proxies are told when the warm-up of an instance begins and ends
    When 1 seconds pass at the relays
    And the proxy "proxy-2" starts counting its endpoint updates
    And the agent "orders-1" tells "relay-1" that it warms up for 3000 more milliseconds
    Then the proxy "proxy-2" sees "orders-1" with 3000 milliseconds of warm-up left
    When the agent "orders-1" tells "relay-1" that it warms up for 2000 more milliseconds
    Then the proxy "proxy-2" received 1 more endpoint updates
    When the agent "orders-1" tells "relay-1" that it warms up for 0 more milliseconds
    Then the proxy "proxy-2" sees "orders-1" with 0 milliseconds of warm-up left
    And the proxy "proxy-2" received 2 more endpoint updates

  # Guards against a limit that reaches proxies only with their own calls.
  Scenario: Proxies are told of the limit of an instance
    When the agent "orders-1" registers at "relay-1" again and states a limit of 12.5 a second
    Then the proxies "proxy-1, proxy-2" see a limit of 12.5 for "orders-1"
    When the agent "orders-1" registers at "relay-1" again and states a limit of 0 a second
    Then the proxies "proxy-1, proxy-2" see a limit of 0 for "orders-1"

  # Guards against an agent that restarts beside a leaving instance and gets calls of other proxies.
  Scenario: A new agent beside an instance that has stated that it is leaving
    When the agent "orders-1" states to "relay-1" that its instance "i-1" is leaving
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "draining"
    When the agent "orders-2" registers at "relay-2" beside the instance "i-1"
    Then the proxies "proxy-1, proxy-2" see "orders-2" as "draining"
    When the agent "orders-3" registers at "relay-2" beside the instance "i-2"
    Then the proxies "proxy-1, proxy-2" see "orders-3" as "ready"
