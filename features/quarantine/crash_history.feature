Feature: Replicas of the crash history agree on the requests that are quarantined for crashing back ends
  Guards against replicas that diverge, and against harmless requests that stay quarantined.

  Scenario: Replicas converge when updates are reordered, repeated or relayed
    Then any crashes and answers, sent in any order and any number of times, leave all replicas with the same records

  Scenario: Three crashes in a row quarantine a request, and an answer clears it
    Given a request with 2 crashes in a row
    Then the request is not quarantined
    When a third back end crashes while running it
    Then the request is quarantined
    When the request is answered
    Then the request is not quarantined
    When an update with the same crashes arrives again
    Then the request is not quarantined

  Scenario: Back ends that crash at once don't quarantine a request that ran at all of them
    When 12 back ends crash at once while a request runs at all of them
    Then the request is not quarantined

  Scenario: The crash history is bounded, and records with the fewest crashes are evicted first
    Given a request with 3 crashes in a row
    When 5000 other requests have one crash each
    Then at most 1024 requests are recorded, and the quarantined one is among them
    And a full update takes at most 50000 bytes

  Scenario: Old crashes expire, and a quarantined request is remembered for longer than its quarantine
    Given a request with 2 crashes in a row
    When 600 seconds pass for the crash history
    Then the request is not recorded
    Given a request with 3 crashes in a row
    When 300 seconds pass for the crash history
    Then the request is quarantined

  Scenario: Each crash after the third doubles the quarantine, up to an hour
    Then requests with 3, 4, 5 and 12 crashes are quarantined for 120, 240, 480 and 3600 seconds

  Scenario: Digests distinguish requests and don't reveal their bodies
    Then requests that differ in service, method, target or body have different digests
    And an update on a request with a secret in its body doesn't contain the secret

  Scenario: A harmless request that was quarantined by mistake is released
    Given 12 proxies that quarantine a harmless request after 3 crashes
    When it arrives at a random one of them every 0.6 seconds
    Then it is answered after 120 to 240 seconds, and by every proxy from then on
    And a request that crashes each back end reaches only 1 within twice the initial quarantine
