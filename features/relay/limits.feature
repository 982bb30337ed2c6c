Feature: Relays send proxies limit updates for tenants near their limit
  Guards against limits that are exceeded because calls at other relays are not counted.

  Background:
    Given a mesh of the relays "relay-1" and "relay-2"
    And a proxy "near" at "relay-1" and a proxy "other-zone" at "relay-2"

  Scenario: Calls admitted in one zone count in all zones
    When the mesh limits the tenant "harbour" to 10 calls a second
    And 1 seconds pass at the relays
    And the proxies "near, other-zone" send empty usage reports to their relays
    And the proxy "near" reports 100 admitted calls of "harbour" to its relay
    And 0.5 seconds pass at the relays
    Then the last limit update of the proxies "near, other-zone" admits no calls of "harbour"
    When 6 seconds pass at the relays
    Then the last limit update of the proxies "near, other-zone" names no tenant

  Scenario: A restarted relay receives the usage in the window from another relay
    When the mesh limits the tenant "harbour" to 10 calls a second
    And 1 seconds pass at the relays
    And the proxies "near, other-zone" send empty usage reports to their relays
    And the proxy "near" reports 100 admitted calls of "harbour" to its relay
    And 0.5 seconds pass at the relays
    And the relay "relay-2" is killed
    And 0.1 seconds pass at the relays
    And the relay "relay-2" restarts
    And 2 seconds pass at the relays
    And the proxies "other-zone" send empty usage reports to their relays
    And 0.5 seconds pass at the relays
    Then the last limit update of the proxies "other-zone" admits no calls of "harbour"

  Scenario: Without limits no usage reports or limit updates are sent
    When 3 seconds pass at the relays
    Then no process has received a usage report or limit update
