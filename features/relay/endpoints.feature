Feature: Endpoints are soft state: held by lease, the newer notion wins, draining is sticky

  Background:
    Given a mesh of the relays "relay-1" and "relay-2"
    And a proxy "proxy-1" at "relay-1" and a proxy "proxy-2" at "relay-2"
    And the agent "orders-1" registers at "relay-1" with incarnation 5

  Scenario: An endpoint reaches proxies at every relay
    When 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "ready"

  Scenario: A lease that is not renewed ends
    When 1 seconds pass at the relays
    And the agent "orders-1" renews as "ready"
    And 5.5 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "ready"
    When 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "gone"

  Scenario: A renewal after the lease's end brings the endpoint back
    When 8 seconds pass at the relays
    And the agent "orders-1" renews as "ready"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "ready"

  Scenario: An older incarnation is refused
    When the agent "orders-1" registers again at "relay-1" with incarnation 4
    And 1 seconds pass at the relays
    Then the agent "orders-1" is told that its lease is lost
    And the proxies "proxy-1, proxy-2" see incarnation 5 of "orders-1"

  Scenario: Draining is sticky for an incarnation
    When the agent "orders-1" renews as "draining"
    And 1 seconds pass at the relays
    And the agent "orders-1" renews as "ready"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "draining"
    When the agent "orders-1" registers again at "relay-2" with incarnation 6
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "ready"

  Scenario: An agent that stops as planned is gone at once
    When 1 seconds pass at the relays
    And the agent "orders-1" renews as "gone"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "gone"

  Scenario: The platform list marks a machine as leaving, unless the entry is newer
    When "relay-1" and "relay-2" read that "orders-1" of incarnation 4 is "leaving"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "ready"
    When "relay-1" and "relay-2" read that "orders-1" of incarnation 5 is "leaving"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "draining"
    When "relay-1" and "relay-2" read that "orders-1" of incarnation 5 is "live"
    And the agent "orders-1" renews as "ready"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "draining"

  Scenario: A machine called dead whose lease stands takes no new work, and is gone at its end
    When "relay-1" and "relay-1" read that "orders-1" of incarnation 5 is "dead"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "draining"
    When 6 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "gone"

  Scenario: A lost relay's endpoints stay for the grace
    When 1 seconds pass at the relays
    And the relay "relay-1" is killed
    And 15 seconds pass at the relays
    Then the proxies "proxy-2" see "orders-1" as "ready"
    When 10 seconds pass at the relays
    Then the proxies "proxy-2" see "orders-1" as "gone"

  Scenario: An agent that moves within the grace is never missed
    When 1 seconds pass at the relays
    And the relay "relay-1" is killed
    And 3 seconds pass at the relays
    And the agent "orders-1" registers at the next relay "relay-2"
    And the agent "orders-1" renews for 40 seconds
    Then the proxy "proxy-2" has seen "orders-1" as "ready" all along

  Scenario: A restarted relay's endpoints that do not come back go after the grace
    When 1 seconds pass at the relays
    And the relay "relay-1" is killed
    And the relay "relay-1" starts again
    And the agent "orders-2" registers at "relay-1" with incarnation 1
    And the agent "orders-2" renews for 15 seconds
    Then the proxies "proxy-2" see "orders-1" as "ready"
    And the proxies "proxy-2" see "orders-2" as "ready"
    When the agent "orders-2" renews for 10 seconds
    Then the proxies "proxy-2" see "orders-1" as "gone"
    And the proxies "proxy-2" see "orders-2" as "ready"

  Scenario: A silent cut between relays is noticed, and what was missed is made up
    When 1 seconds pass at the relays
    And the link between "relay-1" and "relay-2" is cut without a word
    And the agent "orders-1" renews as "draining"
    And the agent "orders-2" registers at "relay-1" with incarnation 1
    And the agent "orders-2" renews for 8 seconds
    Then the proxies "proxy-2" see "orders-1" as "ready"
    When the links between relays are mended
    And the agent "orders-2" renews for 30 seconds
    Then the proxies "proxy-2" see "orders-2" as "ready"
    And the proxies "proxy-2" see "orders-1" as "gone"

  Scenario: Load travels with renewals only, and churn is sent in batches
    When 1 seconds pass at the relays
    And the proxy "proxy-1" counts its endpoint updates from here
    And the agent "orders-1" renews 50 times with changing load
    And 1 seconds pass at the relays
    Then the proxy "proxy-1" got 0 more endpoint updates
    When 50 agents register at "relay-1" at once
    And 1 seconds pass at the relays
    Then the proxy "proxy-1" got 1 more endpoint updates

  Scenario: Agents' subscriptions carry configuration only
    Given an agent's subscription "agent-config" at "relay-1"
    When 1 seconds pass at the relays
    Then the subscription "agent-config" holds configuration and got no endpoints

  Scenario: A change alone goes out at once, those that follow it closely as one batch
    When 1 seconds pass at the relays
    And the proxy "proxy-2" counts its endpoint updates from here
    And the agent "orders-1" renews as "draining"
    And 0.02 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" as "draining"
    When the agent "orders-2" registers at "relay-1" with incarnation 1
    And the agent "orders-3" registers at "relay-1" with incarnation 1
    And 0.1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-3" as "ready"
    And the proxy "proxy-2" got 2 more endpoint updates

  Scenario: News of one endpoint may come in any order
    Then random news of an endpoint ends the same in any order

  Scenario: The platform's list is read, and what does not parse is refused
    Then platform lists are read into notices of leaving and dead machines only

  Scenario: Changes whose tombstones were dropped cannot be told one by one
    Then a table that dropped a tombstone says so to those who had not heard of it
