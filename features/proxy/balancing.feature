Feature: A proxy balances calls by load, latency, zone and endpoint health

  Scenario: The local zone is preferred and spills over when it is full
    Given endpoints with 2 slots in zones "here, there"
    When the balancer starts 2 calls
    Then all of the balancer's calls are in zone "here"
    When the balancer starts 2 calls
    Then some of the balancer's calls are in zone "there"

  Scenario: A load reported by a relay steers calls away
    Given endpoints with 2 slots in zones "here, here, here"
    When relays report a load of 6 for the first two endpoints
    And the balancer starts 2 calls
    Then all of the balancer's calls are at the third endpoint

  Scenario: An endpoint in another zone does not count as idle for lack of reports
    Given endpoints with 2 slots in zones "here, here, there, there"
    And each endpoint has reported a service time of 0.1 seconds
    When relays report a load of 3 for the first two endpoints
    And endpoints are picked for 60 calls, one after the other
    Then less than a third of the calls are in zone "there"

  Scenario: A cold endpoint is ramped up by slow start
    Given a warm endpoint and a cold one
    Then the cold endpoint gets less than a third of the calls at first
    And the cold endpoint gets about half of the calls after its slow start

  Scenario: Ejections leave a minimum of endpoints in use
    Given any call outcomes, at least half of the endpoints stay in use

  Scenario: Reported load cannot hide failures
    Given an endpoint that reports no load and fails every call
    Then the balancer ejects the failing endpoint, and tries it again later

  Scenario: Endpoint updates in any order result in the same view
    Given endpoint updates in any order, the newest wins and a drained incarnation stays unusable

  Scenario: An older update that an endpoint is draining still counts
    Given an endpoint for which another relay has sent a newer update
    Then an older update that its incarnation is draining makes it unusable for good
    And its next incarnation is usable

  Scenario: An endpoint whose lease expired returns with a newer update
    Given an endpoint whose lease has expired at a partitioned relay
    Then an update no newer than its removal does not bring it back
    And its newer registration at another relay brings it back

  Scenario: A relay that has just restarted does not empty the view
    Given a view of 3 endpoints
    When a full update lists only 1 of them
    Then the view keeps the others for a grace period

  Scenario: Groups are limited to their share when the proxy is nearly full
    Given any calls of three groups, the limits hold and a group below its share is admitted

  Scenario Outline: The more bytes a call transfers, the longer it may take in its own zone
    Given a route with 1 second to its target whose answers have <answer> bytes
    Then a call on it with a body of <body> bytes may take <milliseconds> ms in its own zone

    Examples:
      | answer | body  | milliseconds |
      | 400    | 0     | 300          |
      | 5000   | 0     | 700          |
      | 400    | 60000 | 1000         |
      | 60000  | 0     | 1000         |
      | no     | 0     | 700          |

  Scenario: The observed sizes of a route are dropped with it
    Given a route with 1 second to its target whose answers have 400 bytes
    When the configuration no longer holds that route
    Then a call on it with a body of 0 bytes may take 700 ms in its own zone

  Scenario: Endpoints are compared by their service time for the call's route
    Given two endpoints, one with many short calls and one with a few long calls
    Then a short call goes to the endpoint with few calls, though its average service time is longer

  Scenario: Service times of removed routes are dropped
    Given two endpoints, one with many short calls and one with a few long calls
    When the route "short" is removed from the balancer
    Then the balancer has service times only for the route "long"

  Scenario Outline: A small call leaves its zone for a faster endpoint, any other call only if the zone is full
    Given an idle local endpoint that takes 240 ms and an idle remote one that takes <other> ms
    Then a <kind> call with 400 ms to its latency target goes <where>

    Examples:
      | other | kind   | where       |
      | 120   | small  | elsewhere   |
      | 235   | small  | to its zone |
      | 120   | medium | to its zone |

  Scenario Outline: Calls are small by the bytes they transfer
    Given a route with 1 second to its target whose answers have <answer> bytes
    Then a call on it with a body of <body> bytes is <kind>

    Examples:
      | answer | body  | kind   |
      | 1500   | 300   | small  |
      | 5000   | 0     | larger |
      | 400    | 60000 | larger |
      | no     | 0     | medium |
