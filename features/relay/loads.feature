Feature: Relays send the loads of endpoints to the proxies of their zone
  Guards against outdated loads at proxies, and against load traffic between zones.

  Background:
    Given a mesh of the relays "relay-1" and "relay-2"
    And a proxy "near" at "relay-1" and a proxy "other-zone" at "relay-2"
    And the agent "orders-1" registers at "relay-1" with incarnation 5

  Scenario: A load is sent to proxies of its zone only
    When the agent "orders-1" reports a load of 3
    And 0.2 seconds pass at the relays
    Then the proxies "near" have received the loads "3" of "orders-1"
    And the proxies "other-zone" have received the loads "" of "orders-1"

  Scenario: A load is sent to proxies of its zone at another relay
    Given a proxy "far" of the zone of "relay-1" at "relay-2"
    When 2 seconds pass at the relays
    And the agent "orders-1" reports a load of 3
    And 0.3 seconds pass at the relays
    Then the proxies "near, far" have received the loads "3" of "orders-1"

  Scenario: Loads are sent only to relays with proxies of the zone
    When 2 seconds pass at the relays
    And the agent "orders-1" reports a load of 3
    And 0.3 seconds pass at the relays
    Then "relay-2" has received no loads from "relay-1"
    Given a proxy "far" of the zone of "relay-1" at "relay-2"
    When 2 seconds pass at the relays
    And the agent "orders-1" reports a load of 4
    And 0.3 seconds pass at the relays
    Then "relay-2" has received the loads "4" from "relay-1"
    When the proxy "far" stops
    And 3 seconds pass at the relays
    And the agent "orders-1" reports a load of 5
    And 0.3 seconds pass at the relays
    Then "relay-2" has received the loads "4" from "relay-1"

  Scenario: Reports in quick succession are sent as one update with the newest load, at most 255
    When the agent "orders-1" reports a load of 1
    And 0.05 seconds pass at the relays
    And the agent "orders-1" reports a load of 2
    And the agent "orders-1" reports a load of 400
    And 0.3 seconds pass at the relays
    Then the proxies "near" have received the loads "1, 255" of "orders-1"

  Scenario: Reports without a lease are ignored
    Given the agent "stranger" has a link to "relay-1" and no lease
    When the agent "stranger" reports a load of 3
    And 0.2 seconds pass at the relays
    Then the proxies "near" have received the loads "" of "stranger"

  Scenario: What a proxy finds silent is sent to the proxies of its zone at the relay, and to no others
    Given a proxy "close" of the zone of "relay-1" at "relay-1"
    And a proxy "far" of the zone of "relay-1" at "relay-2"
    And a proxy "guest" of the zone of "relay-2" at "relay-1"
    When 2 seconds pass at the relays
    And the proxy "near" reports "orders-1" as silent
    And 0.3 seconds pass at the relays
    Then the proxies "close" were told that "orders-1" is silent
    And the proxies "far, guest, other-zone" were not told that "orders-1" is silent
    And "relay-2" has received no loads from "relay-1"

  Scenario: An agent's own report takes the place of a proxy's
    Given a proxy "close" of the zone of "relay-1" at "relay-1"
    When 2 seconds pass at the relays
    And the proxy "near" reports "orders-2" as silent
    And the proxy "near" reports "orders-1" as silent
    And the agent "orders-1" reports a load of 3
    And 0.3 seconds pass at the relays
    Then the proxies "close" were told that "orders-2" is silent
    And the proxies "close" were not told that "orders-1" is silent
    And the proxies "close" have received the loads "3" of "orders-1"

  Scenario: The reports of a proxy are bounded
    Given a proxy "close" of the zone of "relay-1" at "relay-1"
    When 2 seconds pass at the relays
    And the proxy "near" reports 1000 endpoints as silent twice in a moment
    And 0.3 seconds pass at the relays
    Then the proxies "close" were told of at most 256 silent endpoints at once
