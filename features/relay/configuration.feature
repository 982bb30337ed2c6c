Feature: A relay passes configuration on, from its disk too, and says how current it is

  Background:
    Given a mesh of the relays "relay-1" and "relay-2"
    And a proxy "proxy-1" at "relay-1" and a proxy "proxy-2" at "relay-2"

  Scenario: Versions in force are counted up the tree, by zone
    When 3 seconds pass at the relays
    Then the source counts "zone-a: 1 of 1, zone-b: 1 of 1" in force
    When the disk of the proxy "proxy-2" stalls
    And the mesh changes the route "place"
    And 3 seconds pass at the relays
    Then the source counts "zone-a: 1 of 1, zone-b: 0 of 1" in force
    When the disk of the proxy "proxy-2" goes on again
    And 3 seconds pass at the relays
    Then the source counts "zone-a: 1 of 1, zone-b: 1 of 1" in force

  Scenario: A relay starts from its disk while every source is out, and serves those who held it
    When 4 seconds pass at the relays
    And the mesh's source is killed
    And the relay "relay-1" is killed
    And the relay "relay-1" starts again
    And the proxy "proxy-1" restarts with its disk
    And 3 seconds pass at the relays
    Then the proxy "proxy-1" holds the mesh's version
    And no secret stands open on the disk of "relay-1"

  Scenario: A relay without its key does not use its snapshot, and fetches a new one
    When 4 seconds pass at the relays
    And the relay "relay-1" is killed
    And the relay "relay-1" starts again with another key
    And 4 seconds pass at the relays
    Then the relay "relay-1" holds the mesh's version

  Scenario: A proxy without a disk waits for a proof that goes up to the source
    When 4 seconds pass at the relays
    And the link between "relay-1" and "source" is cut without a word
    And the proxy "proxy-1" restarts with an empty disk
    And 5 seconds pass at the relays
    Then the proxy "proxy-1" holds no configuration
    When the links between relays are mended
    And 5 seconds pass at the relays
    Then the proxy "proxy-1" holds the mesh's version

  Scenario: A relay cut off silently is left by proxies that know another
    Given a proxy "proxy-3" that may choose between "relay-1" and "relay-2"
    When 4 seconds pass at the relays
    And the relay that "proxy-3" follows is cut off silently from the source
    And the mesh changes the route "place"
    And 20 seconds pass at the relays
    Then the proxy "proxy-3" holds the mesh's version

  Scenario: A planned stop of a relay moves its proxies at once
    Given a proxy "proxy-3" that may choose between "relay-1" and "relay-2"
    When 4 seconds pass at the relays
    And the relay that "proxy-3" follows stops as planned
    And 0.5 seconds pass at the relays
    And the mesh changes the route "place"
    And 0.5 seconds pass at the relays
    Then the proxy "proxy-3" holds the mesh's version

  Scenario: A relay that returns gets its readers back, spread over half a minute
    Given 100 more proxies that prefer "relay-1" to "relay-2"
    When 4 seconds pass at the relays
    And the relay "relay-1" is killed
    And 3 seconds pass at the relays
    Then 100 proxies follow "relay-2"
    When the relay "relay-1" starts again
    Then over 30 seconds at most 10 proxies a second change over to "relay-1"
    When 60 seconds pass at the relays
    Then 100 proxies follow "relay-1"
    And each of them has left a relay 2 times
    And the source counts "zone-a: 101 of 101, zone-b: 1 of 1" in force

  Scenario: A preferred relay that stays away costs its readers no link
    Given 10 more proxies that prefer "relay-1" to "relay-2"
    When 4 seconds pass at the relays
    And the relay "relay-1" is killed
    And 600 seconds pass at the relays
    Then 10 proxies follow "relay-2"
    And each of them has left a relay 1 times

  Scenario: A preferred relay that is cut off from the source is not returned to
    Given 10 more proxies that prefer "relay-1" to "relay-2"
    When 4 seconds pass at the relays
    And the link between "relay-1" and "source" is cut without a word
    And 120 seconds pass at the relays
    Then 10 proxies follow "relay-2"
    And each of them has left a relay 1 times
    When the mesh changes the route "place"
    And 1 seconds pass at the relays
    Then 10 proxies follow "relay-2"
    And the proxies that follow "relay-2" hold the mesh's version
    When the links between relays are mended
    And 300 seconds pass at the relays
    Then 10 proxies follow "relay-1"

  Scenario: A preferred relay that does not answer is given up, the link in use kept
    Given 10 more proxies that prefer "relay-1" to "relay-2"
    When 4 seconds pass at the relays
    And the relay "relay-1" is killed
    And a relay "relay-1" comes up that accepts links and says nothing
    And 120 seconds pass at the relays
    Then 10 proxies follow "relay-2"
    And each of them has left a relay at most 3 times
    And each of them has dialled "relay-1" 2 times or more

  Scenario: A preferred relay that turns its readers away is left to the one they came from
    Given 10 more proxies that prefer "relay-1" to "relay-2"
    When 4 seconds pass at the relays
    And the relay "relay-1" is killed
    And 3 seconds pass at the relays
    And the relay "relay-1" starts again and admits nobody
    And 40 seconds pass at the relays
    And the mesh changes the route "place"
    And 1 seconds pass at the relays
    Then 10 proxies follow "relay-2"
    And the proxies that follow "relay-2" hold the mesh's version

  Scenario: Rollout counts are told again to another publisher, and else only when they change
    Then the same rollout counts are reported once to each publisher in turn

  Scenario: Hundreds of proxies that come back to a restarted relay cost the source one subscription
    Given 100 more proxies at "relay-1"
    When 4 seconds pass at the relays
    And the relay "relay-1" is killed
    And the relay "relay-1" starts again
    And 30 seconds pass at the relays
    Then all proxies hold the mesh's version
    And the source has 2 subscribers
