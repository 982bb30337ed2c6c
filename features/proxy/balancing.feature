Feature: A proxy spreads calls by what it sees itself

  Scenario: The own zone comes first and spills over when it is full
    Given endpoints with 2 slots in zones "here, there"
    When the balancer starts 2 calls
    Then all of the balancer's calls are in zone "here"
    When the balancer starts 2 calls
    Then some of the balancer's calls are in zone "there"

  Scenario: A load told by a relay steers calls away, until it fades
    Given endpoints with 2 slots in zones "here, here, here"
    When relays tell the balancer of a load of 6 at two of them
    And the balancer starts 2 calls
    Then all of the balancer's calls are at the third

  Scenario: An endpoint of another zone is not idle for want of news
    Given endpoints with 2 slots in zones "here, here, there, there"
    And calls that each take 0.1 seconds at all of them
    When relays tell the balancer of a load of 3 at two of them
    And 60 calls are chosen one at a time
    Then less than a third of them are in zone "there"

  Scenario: A cold endpoint is ramped up
    Given a warm endpoint and one that has just appeared
    Then the cold endpoint gets less than a third of the calls at first
    And the cold endpoint gets about half of the calls after its ramp

  Scenario: Ejection keeps a floor
    Given any outcomes of calls, the balancer keeps half of the endpoints in use

  Scenario: Reported load cannot hide failures
    Given an endpoint that reports no load and fails every call
    Then the balancer leaves the failing endpoint out, and tries it again later

  Scenario: Endpoint news in any order gives one view
    Given any order of endpoint news, the newest wins and a drained incarnation stays out

  Scenario: A relay with older news that an endpoint drains is heeded
    Given an endpoint of which another relay has told newer news
    Then older news that its incarnation drains takes it out for good
    And the next incarnation takes work

  Scenario: An endpoint whose lease ended comes back with newer news
    Given an endpoint whose lease ended at a relay that hears nothing
    Then news as old as its end does not bring it back
    And its newer registration at another relay brings it back

  Scenario: A relay that has just restarted does not empty the view
    Given a view of 3 endpoints
    When a full update names 1 of them
    Then the view keeps the others for a grace period

  Scenario: Groups are bounded by their share when the proxy is nearly full
    Given any calls of three groups, the bounds hold and a group under its share finds room

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

  Scenario: What is known of a route is forgotten with it
    Given a route with 1 second to its target whose answers have 400 bytes
    When the configuration no longer holds that route
    Then a call on it with a body of 0 bytes may take 700 ms in its own zone

  Scenario: Endpoints are compared by how long calls of the same route take there
    Given two endpoints, one flooded with short calls and one with a few long ones
    Then the balancer sends a short call to the one with few, though its calls take longer on average

  Scenario: Times of routes that are gone are forgotten
    Given two endpoints, one flooded with short calls and one with a few long ones
    When the balancer's route "short" is gone
    Then the balancer holds times of no route but "long"

  Scenario Outline: A light call leaves its zone for an earlier answer, any other only when it is full
    Given an endpoint of the own zone that takes 240 ms and one elsewhere that takes <other>, both idle
    Then a <kind> call with 400 ms to its target goes <where>

    Examples:
      | other | kind   | where       |
      | 120   | light  | elsewhere   |
      | 235   | light  | to its zone |
      | 120   | usual  | to its zone |

  Scenario Outline: Calls are small by the bytes they transfer
    Given a route with 1 second to its target whose answers have <answer> bytes
    Then a call on it with a body of <body> bytes is <kind>

    Examples:
      | answer | body  | kind   |
      | 1500   | 300   | small  |
      | 5000   | 0     | larger |
      | 400    | 60000 | larger |
      | no     | 0     | usual |
