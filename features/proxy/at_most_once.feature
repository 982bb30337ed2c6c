Feature: Calls on at-most-once routes run at most once

  Scenario: A call without an idempotency key is refused
    Given a proxy with one endpoint
    When a caller places an order without a key
    Then call 1 failed as "idempotency-key-missing" with outcome "not-run"

  Scenario: A resend gets the recorded answer
    Given a proxy with one endpoint
    When a caller places an order with key "k1"
    And the agent answers the call
    And a caller places an order with key "k1"
    Then call 2 got the same answer as call 1
    And 1 call was sent to an agent

  Scenario: An attempt with an unknown outcome is not retried
    Given a proxy with 2 endpoints and retries left in its budget
    When a caller places an order with key "k1"
    And the agent's link is lost
    Then call 1 failed as "connection-lost" with outcome "unknown"
    When a caller places an order with key "k1"
    Then call 2 failed as "outcome-unknown" with outcome "unknown"
    And 1 call was sent to an agent

  Scenario: A call that never left the agent's queue releases its claim
    Given a proxy with one endpoint
    When a caller places an order with key "k1"
    And 2.0 seconds pass at the proxy
    And the agent refuses the call as "deadline-too-short"
    Then call 1 failed as "deadline-too-short" with outcome "not-run"
    When a caller places an order with key "k1"
    And the agent answers the call
    Then call 2 got the answer of its agent

  Scenario: An attempt that was not run is retried at another agent
    Given a proxy with 2 endpoints
    When a caller places an order with key "k1"
    And the agent refuses the call as "draining"
    And the agent answers the call
    Then call 1 got the answer of its agent

  Scenario: A caller that disconnects gets the recorded answer to its resend
    Given a proxy with one endpoint
    When a caller places an order with key "k1"
    And the caller of call 1 disconnects
    And the agent answers the call
    And a caller places an order with key "k1"
    Then call 2 got the answer of its agent
    And 1 call was sent to an agent

  Scenario: A queued call whose caller disconnects releases its claim
    Given a proxy with one endpoint
    When a caller places an order with key "k1"
    And the caller of call 1 disconnects
    Then the agent was told to cancel unless the call had begun
    When the agent refuses the call as "deadline-too-short"
    And a caller places an order with key "k1"
    And the agent answers the call
    Then call 2 got the answer of its agent
    And 2 calls were sent to agents

  Scenario: No idempotency key runs twice under random failures, link losses and resends
    Given any outcomes, link losses and resends through two proxies, no key runs twice
