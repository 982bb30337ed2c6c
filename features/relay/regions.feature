Feature: The region that an agent states reaches every proxy
  Guards against proxies that know no region of an endpoint, or one that has changed since.

  Background:
    Given a mesh of the relays "relay-1" and "relay-2"
    And a proxy "proxy-1" at "relay-1" and a proxy "proxy-2" at "relay-2"

  Scenario: An agent's region reaches the proxies at every relay, also when it changes
    Given the agent "orders-1" registers at "relay-1" in region "north"
    When 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" in region "north"
    When the agent "orders-1" registers at "relay-1" in region "south"
    And 1 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" see "orders-1" in region "south"
