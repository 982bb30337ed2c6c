Feature: Relays replicate the crash history of requests to all proxies
  Guards against requests that crash back ends in one zone and are then sent to another.

  Background:
    Given a mesh of the relays "relay-1" and "relay-2"
    And a proxy "proxy-1" at "relay-1" and a proxy "proxy-2" at "relay-2"
    And the agent "orders-1" registers at "relay-1" with incarnation 5
    And the agent "orders-2" registers at "relay-2" with incarnation 5
    And 1 seconds pass at the relays

  Scenario: Crashes in several zones reach every proxy within 0.2 seconds
    When the agent "orders-1" reports crash 1
    And the agent "orders-2" reports crash 2
    And the agent "orders-1" reports crash 3
    And 0.2 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" know of 3 consecutive crashes of the request
    And each proxy received at most 3 crash updates

  Scenario: A crash that is reported again is not sent again
    When the agent "orders-1" reports crash 1
    And 0.2 seconds pass at the relays
    And the agent "orders-1" reports crash 1
    And the agent "orders-2" reports crash 1
    And 1 seconds pass at the relays
    Then each proxy received at most 1 crash updates

  Scenario: A restarted proxy receives the full crash history
    When the agent "orders-1" reports crash 1
    And the agent "orders-1" reports crash 2
    And 1 seconds pass at the relays
    And the proxy "proxy-2" restarts with an empty disk
    And 4 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" know of 2 consecutive crashes of the request

  Scenario: A restarted relay receives the full crash history from another relay
    When the relay "relay-2" is killed
    And the agent "orders-1" reports crash 1
    And the agent "orders-1" reports crash 2
    And 1 seconds pass at the relays
    And the relay "relay-2" restarts
    And 8 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" know of 2 consecutive crashes of the request

  Scenario: Relays merge their crash histories after a network partition
    When the link between "relay-1" and "relay-2" is cut silently
    And the agent "orders-1" reports crash 1
    And the agent "orders-1" reports crash 2
    And the agent "orders-2" reports crash 3
    And 7 seconds pass at the relays
    Then the proxies "proxy-1" know of 2 consecutive crashes of the request
    When all links are restored
    And 16 seconds pass at the relays
    Then the proxies "proxy-1, proxy-2" know of 3 consecutive crashes of the request
