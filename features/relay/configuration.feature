Feature: A relay distributes configuration, also from its snapshot, and proves that it is current
  Guards against outdated configuration at proxies, secrets on a relay's disk, and reconnect storms.

  Background:
    Given a mesh of the relays "relay-1" and "relay-2"
    And a proxy "proxy-1" at "relay-1" and a proxy "proxy-2" at "relay-2"

  Scenario: Rollout counts are reported up to the source, by zone
    When 3 seconds pass at the relays
    Then the source counts the newest version in force at "zone-a: 1 of 1, zone-b: 1 of 1"
    When the disk of the proxy "proxy-2" stalls
    And the mesh changes the route "place"
    And 3 seconds pass at the relays
    Then the source counts the newest version in force at "zone-a: 1 of 1, zone-b: 0 of 1"
    When the disk of the proxy "proxy-2" recovers
    And 3 seconds pass at the relays
    Then the source counts the newest version in force at "zone-a: 1 of 1, zone-b: 1 of 1"

  Scenario: A relay starts from its snapshot while all sources are down, and serves proxies that keep their disk
    When 4 seconds pass at the relays
    And the mesh's source is killed
    And the relay "relay-1" is killed
    And the relay "relay-1" restarts
    And the proxy "proxy-1" restarts with its disk
    And 3 seconds pass at the relays
    Then the proxy "proxy-1" holds the newest version
    And the disk of "relay-1" holds a snapshot and no plain-text secret

  Scenario: A relay that cannot decrypt its snapshot fetches a new one
    When 4 seconds pass at the relays
    And the relay "relay-1" is killed
    And the relay "relay-1" restarts with another key
    And 4 seconds pass at the relays
    Then the relay "relay-1" holds the newest version

  Scenario: A proxy with an empty disk waits until the source confirms that the version is current
    When 4 seconds pass at the relays
    And the link between "relay-1" and "source" is cut silently
    And the proxy "proxy-1" restarts with an empty disk
    And 5 seconds pass at the relays
    Then the proxy "proxy-1" holds no configuration
    When all links are restored
    And 5 seconds pass at the relays
    Then the proxy "proxy-1" holds the newest version

  Scenario: Proxies leave a relay whose link to the source is cut silently
    Given a proxy "proxy-3" that may choose between "relay-1" and "relay-2"
    When 4 seconds pass at the relays
    And the relay that "proxy-3" follows is cut off silently from the source
    And the mesh changes the route "place"
    And 20 seconds pass at the relays
    Then the proxy "proxy-3" holds the newest version

  Scenario: A planned stop of a relay moves its proxies at once
    Given a proxy "proxy-3" that may choose between "relay-1" and "relay-2"
    When 4 seconds pass at the relays
    And the relay that "proxy-3" follows stops as planned
    And 0.5 seconds pass at the relays
    And the mesh changes the route "place"
    And 0.5 seconds pass at the relays
    Then the proxy "proxy-3" holds the newest version

  Scenario: Proxies return to a restarted preferred relay, spread over 30 seconds
    Given 100 more proxies that prefer "relay-1" to "relay-2"
    When 4 seconds pass at the relays
    And the relay "relay-1" is killed
    And 3 seconds pass at the relays
    Then 100 proxies follow "relay-2"
    When the relay "relay-1" restarts
    Then over 30 seconds at most 10 proxies a second move to "relay-1"
    When 60 seconds pass at the relays
    Then 100 proxies follow "relay-1"
    And each of them has left a relay 2 times
    And the source counts the newest version in force at "zone-a: 101 of 101, zone-b: 1 of 1"

  Scenario: Proxies keep their links to the other relay while a preferred relay stays down
    Given 10 more proxies that prefer "relay-1" to "relay-2"
    When 4 seconds pass at the relays
    And the relay "relay-1" is killed
    And 600 seconds pass at the relays
    Then 10 proxies follow "relay-2"
    And each of them has left a relay 1 times

  Scenario: Proxies do not return to a preferred relay that is cut off from the source
    Given 10 more proxies that prefer "relay-1" to "relay-2"
    When 4 seconds pass at the relays
    And the link between "relay-1" and "source" is cut silently
    And 120 seconds pass at the relays
    Then 10 proxies follow "relay-2"
    And each of them has left a relay 1 times
    When the mesh changes the route "place"
    And 1 seconds pass at the relays
    Then 10 proxies follow "relay-2"
    And the proxies that follow "relay-2" hold the newest version
    When all links are restored
    And 300 seconds pass at the relays
    Then 10 proxies follow "relay-1"

  Scenario: Proxies stay with the other relay while a preferred relay does not answer
    Given 10 more proxies that prefer "relay-1" to "relay-2"
    When 4 seconds pass at the relays
    And the relay "relay-1" is killed
    And the relay "relay-1" accepts links but sends nothing
    And 120 seconds pass at the relays
    Then 10 proxies follow "relay-2"
    And each of them has left a relay at most 3 times
    And each of them has dialled "relay-1" at least 2 times

  Scenario: Proxies go back to the other relay when a preferred relay does not admit them
    Given 10 more proxies that prefer "relay-1" to "relay-2"
    When 4 seconds pass at the relays
    And the relay "relay-1" is killed
    And 3 seconds pass at the relays
    And the relay "relay-1" restarts and admits no subscribers
    And 40 seconds pass at the relays
    And the mesh changes the route "place"
    And 1 seconds pass at the relays
    Then 10 proxies follow "relay-2"
    And the proxies that follow "relay-2" hold the newest version

  Scenario: Rollout counts are reported to a new publisher, and otherwise only when they change
    Then unchanged rollout counts are reported once to each new publisher

  Scenario: Many proxies that reconnect to a restarted relay cost the source one subscription
    Given 100 more proxies at "relay-1"
    When 4 seconds pass at the relays
    And the relay "relay-1" is killed
    And the relay "relay-1" restarts
    And 30 seconds pass at the relays
    Then all proxies hold the newest version
    And the source has 2 subscribers
