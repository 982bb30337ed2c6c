Feature: A subscriber is sent the closure of the services it names, and nothing else

  Background:
    Given a source of configuration
    And the source holds
      | resource            | service | secrets |
      | service/orders      |         |         |
      | service/catalogue   |         |         |
      | secret/till         |         |         |
      | secret/photos       |         |         |
      | route/place         | orders  | till    |
      | route/upload        | catalogue | photos |
      | share/orders/north  |         |         |
      | share/catalogue/south |       |         |
    And a reader "proxy-1" of the services "orders"

  Scenario: The closure holds the services, their routes and shares, and the secrets of those routes
    When 1 seconds pass in the distribution
    Then the reader "proxy-1" holds just "route/place, secret/till, service/orders, share/orders/north"

  Scenario: A route that moves between services takes its secret along
    Given a reader "proxy-2" of the services "catalogue"
    When 1 seconds pass in the distribution
    And the source puts "route/place" to "catalogue" with the secrets "till"
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" holds just "service/orders, share/orders/north"
    And the reader "proxy-2" holds just "route/place, route/upload, secret/photos, secret/till, service/catalogue, share/catalogue/south"

  Scenario: A secret added to a route enters the scope, and leaves with it
    When 1 seconds pass in the distribution
    And the source puts "route/place" to "orders" with the secrets "till, photos"
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" holds just "route/place, secret/photos, secret/till, service/orders, share/orders/north"
    When the source puts "route/place" to "orders" with the secrets "photos"
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" holds just "route/place, secret/photos, service/orders, share/orders/north"

  Scenario: A secret's new value reaches those whose routes need it, and nobody else
    Given a reader "proxy-2" of the services "catalogue"
    When 1 seconds pass in the distribution
    And the source puts "secret/till" alone
    And 0.05 seconds pass in the distribution
    Then the reader "proxy-1" holds the source's version
    And the reader "proxy-1" was sent 2 sets or deltas
    And the reader "proxy-2" was sent 1 sets or deltas

  Scenario: A version that does not touch a scope costs no delta, and is known there at once
    When 1 seconds pass in the distribution
    And the source puts "route/upload" to "catalogue" with the secrets "photos"
    And 0.05 seconds pass in the distribution
    Then the reader "proxy-1" was sent 1 sets or deltas
    And the reader "proxy-1" holds the source's version
    And the reader "proxy-1" was sent 1 heartbeats

  Scenario: Many versions that do not touch a scope cost a few heartbeats
    When 1 seconds pass in the distribution
    And the source puts "route/upload" to "catalogue" with the secrets "photos" 100 times, 0.05 seconds apart
    And 3 seconds pass in the distribution
    Then the reader "proxy-1" was sent 1 sets or deltas
    And the reader "proxy-1" holds the source's version
    And the reader "proxy-1" was sent 4 heartbeats

  Scenario: In quiet a link carries probes, and one keep-alive in half a minute
    When 70 seconds pass in the distribution
    Then the reader "proxy-1" was sent 2 heartbeats

  Scenario: Subscribers of one scope are sent one message that was built once
    Given a publisher with 50 subscribers of the services "orders"
    When the publisher moves on to a new version of "route/place"
    Then all 50 subscribers are sent the very same message

  Scenario: A change costs the hashes of what changed, however large the scope and its audience
    Given a publisher with 50 subscribers of the services "orders"
    And 200 more routes to "orders" at the publisher
    When the publisher moves on to a new version of "route/place"
    Then the scope's digest took 2 hashes
    And all 50 subscribers are sent the very same message

  Scenario: From any version to any other the delta equals the snapshot
    Then random histories reach the same scope by delta as by snapshot

  Scenario: Proxies hold all tenants whatever their services, agents none
    Given an agent "agent-1" of the services "orders"
    When 1 seconds pass in the distribution
    And the source puts "tenant/north" alone
    And the source puts "tenant/south" alone
    And 2 seconds pass in the distribution
    Then the reader "proxy-1" holds just "route/place, secret/till, service/orders, share/orders/north, tenant/north, tenant/south"
    And the reader "agent-1" holds just "route/place, secret/till, service/orders, share/orders/north"
    And the reader "agent-1" is at the source's version
    And the reader "agent-1" was sent 1 sets or deltas
    When the source deletes "tenant/north"
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" holds just "route/place, secret/till, service/orders, share/orders/north, tenant/south"

  Scenario: A zone drain reaches every proxy and agent, whatever their services
    Given an agent "agent-1" of the services "catalogue"
    When 1 seconds pass in the distribution
    And the source puts "zone-drain/east" alone
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" holds just "route/place, secret/till, service/orders, share/orders/north, zone-drain/east"
    And the reader "agent-1" holds just "route/upload, secret/photos, service/catalogue, share/catalogue/south, zone-drain/east"
    When the source deletes "zone-drain/east"
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" holds just "route/place, secret/till, service/orders, share/orders/north"
    And the reader "agent-1" holds just "route/upload, secret/photos, service/catalogue, share/catalogue/south"
