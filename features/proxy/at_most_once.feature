Feature: A call that may not be repeated runs at most once

  Scenario: Without an idempotency key the call is refused
    Given a proxy with one endpoint
    When a caller places an order without a key
    Then the caller of call 1 was told "idempotency-key-missing" and outcome "not-run"

  Scenario: A resend gets the recorded answer
    Given a proxy with one endpoint
    When a caller places an order with key "k1"
    And the agent answers the call
    And a caller places an order with key "k1"
    Then call 2 got the same answer as call 1
    And 1 call was handed on

  Scenario: An attempt whose outcome is unknown is not sent again
    Given a proxy with 2 endpoints and retries for every call
    When a caller places an order with key "k1"
    And the agent's link is lost
    Then the caller of call 1 was told "connection-lost" and outcome "unknown"
    When a caller places an order with key "k1"
    Then the caller of call 2 was told "outcome-unknown" and outcome "unknown"
    And 1 call was handed on

  Scenario: A call that only waited in the agent's queue gives its claim back
    Given a proxy with one endpoint
    When a caller places an order with key "k1"
    And 2.0 seconds pass at the proxy
    And the agent refuses the call as "deadline-too-short"
    Then the caller of call 1 was told "deadline-too-short" and outcome "not-run"
    When a caller places an order with key "k1"
    And the agent answers the call
    Then call 2 got the answer of its agent

  Scenario: An attempt that was not run moves to another agent
    Given a proxy with 2 endpoints
    When a caller places an order with key "k1"
    And the agent refuses the call as "draining"
    And the agent answers the call
    Then call 1 got the answer of its agent

  Scenario: A caller that leaves finds the answer when it comes back
    Given a proxy with one endpoint
    When a caller places an order with key "k1"
    And the caller of call 1 leaves
    And the agent answers the call
    And a caller places an order with key "k1"
    Then call 2 got the answer of its agent
    And 1 call was handed on

  Scenario: A caller that leaves while its call only waits gives its claim back
    Given a proxy with one endpoint
    When a caller places an order with key "k1"
    And the caller of call 1 leaves
    Then the agent was told to cancel unless the call had begun
    When the agent refuses the call as "deadline-too-short"
    And a caller places an order with key "k1"
    And the agent answers the call
    Then call 2 got the answer of its agent
    And 2 calls were handed on

  Scenario: Whatever agents, links and callers do, no key runs twice
    Given any outcomes, losses and resends through two proxies, no key runs twice
