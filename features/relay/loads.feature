Feature: Loads reach the proxies of their zone while they are news

  Background:
    Given a mesh of the relays "relay-1" and "relay-2"
    And a proxy "near" at "relay-1" and a proxy "other-zone" at "relay-2"
    And the agent "orders-1" registers at "relay-1" with incarnation 5

  Scenario: A load reaches its zone and no other
    When the agent "orders-1" reports a load of 3
    And 0.2 seconds pass at the relays
    Then the proxies "near" have received the loads "3" of "orders-1"
    And the proxies "other-zone" have received the loads "" of "orders-1"

  Scenario: A load reaches proxies of its zone that follow another relay
    Given a proxy of the zone of "relay-1" at "relay-2"
    When 2 seconds pass at the relays
    And the agent "orders-1" reports a load of 3
    And 0.3 seconds pass at the relays
    Then the proxies "near, far" have received the loads "3" of "orders-1"

  Scenario: Relays tell loads to those relays alone that have proxies of the zone
    When 2 seconds pass at the relays
    And the agent "orders-1" reports a load of 3
    And 0.3 seconds pass at the relays
    Then "relay-2" has received no loads from "relay-1"
    Given a proxy of the zone of "relay-1" at "relay-2"
    When 2 seconds pass at the relays
    And the agent "orders-1" reports a load of 4
    And 0.3 seconds pass at the relays
    Then "relay-2" has received the loads "4" from "relay-1"
    When the proxy "far" stops
    And 3 seconds pass at the relays
    And the agent "orders-1" reports a load of 5
    And 0.3 seconds pass at the relays
    Then "relay-2" has received the loads "4" from "relay-1"

  Scenario: Many reports at once go out as one, with the newest load
    When the agent "orders-1" reports a load of 1
    And 0.05 seconds pass at the relays
    And the agent "orders-1" reports a load of 2
    And the agent "orders-1" reports a load of 400
    And 0.3 seconds pass at the relays
    Then the proxies "near" have received the loads "1, 255" of "orders-1"

  Scenario: What is not registered has no load
    Given the agent "stranger" has a link to "relay-1" and no lease
    When the agent "stranger" reports a load of 3
    And 0.2 seconds pass at the relays
    Then the proxies "near" have received the loads "" of "stranger"
