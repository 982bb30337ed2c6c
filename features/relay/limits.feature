Feature: Relays tell proxies of tenants near their limits

  Background:
    Given a mesh of the relays "relay-1" and "relay-2"
    And a proxy "near" at "relay-1" and a proxy "other-zone" at "relay-2"

  Scenario: What a proxy of one zone let in counts for all
    When the mesh limits the tenant "harbour" to 10 calls a second
    And 1 seconds pass at the relays
    And the proxies "near, other-zone" tell their relays that they share limits
    And the proxy "near" tells its relay of 100 calls of "harbour" let in
    And 0.5 seconds pass at the relays
    Then the proxies "near, other-zone" were last told to let in nothing of "harbour"
    When 6 seconds pass at the relays
    Then the proxies "near, other-zone" were last told of no tenant

  Scenario: A relay that starts again learns what was let in from the other
    When the mesh limits the tenant "harbour" to 10 calls a second
    And 1 seconds pass at the relays
    And the proxies "near, other-zone" tell their relays that they share limits
    And the proxy "near" tells its relay of 100 calls of "harbour" let in
    And 0.5 seconds pass at the relays
    And the relay "relay-2" is killed
    And 0.1 seconds pass at the relays
    And the relay "relay-2" starts again
    And 2 seconds pass at the relays
    And the proxies "other-zone" tell their relays that they share limits
    And 0.5 seconds pass at the relays
    Then the proxies "other-zone" were last told to let in nothing of "harbour"

  Scenario: Without limits relays say nothing of them
    When 3 seconds pass at the relays
    Then nobody has heard of limits
