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

  Scenario: Hundreds of proxies that come back to a restarted relay cost the source one subscription
    Given 100 more proxies at "relay-1"
    When 4 seconds pass at the relays
    And the relay "relay-1" is killed
    And the relay "relay-1" starts again
    And 30 seconds pass at the relays
    Then all proxies hold the mesh's version
    And the source has 2 subscribers
