Feature: A proxy quarantines requests that crash back ends

  Scenario: After its third crash a request is refused at once, with outcome not-run
    Given a proxy with 3 endpoints
    When the relay reports 2 crashes on "/orders/1" to the proxy
    And a caller asks the proxy for "/orders/1"
    Then 1 call was sent to an agent
    When the relay reports 3 crashes on "/orders/2" to the proxy
    And a caller asks the proxy for "/orders/2"
    Then the proxy refused call 2 as "quarantined" with a retry time
    And call 2 failed as "quarantined" with outcome "not-run"
    And the caller of call 2 was told to retry after 60 seconds or later
    When a caller asks the proxy for "/orders/3"
    Then 2 calls were sent to agents

  Scenario: A call is retried once after a crash, but not twice
    Given a proxy with 3 endpoints and retries left in its budget
    When a caller asks the proxy for "/orders/1"
    And the back end of the call crashes with crash number 1
    Then 2 calls were sent to agents
    And the open call tells its agent of 1 previous crashes in a row
    When the back end of the call crashes with crash number 2
    Then 2 calls were sent to agents
    And call 1 failed as "backend-crashed" with outcome "unknown"
    And the proxy reported 2 crashes on "/orders/1" to the relay

  Scenario: Crashes of calls that were sent before any crash was known do not add up
    Given a proxy with 3 endpoints
    When a caller asks the proxy for "/orders/1"
    And a caller asks the proxy for "/orders/1"
    And a caller asks the proxy for "/orders/1"
    And the back end of the call crashes with crash number 1
    And the back end of the call crashes with crash number 2
    And the back end of the call crashes with crash number 3
    And a caller asks the proxy for "/orders/1"
    Then 4 calls were sent to agents

  Scenario: An answer clears a request, and the proxy reports it to the relay
    Given a proxy with 3 endpoints
    When the relay reports 2 crashes on "/orders/1" to the proxy
    And a caller asks the proxy for "/orders/1"
    And the agent answers the call
    Then the proxy reported to the relay that 2 crashes on "/orders/1" are cleared
    When the relay reports 3 crashes on "/orders/1" to the proxy
    And a caller asks the proxy for "/orders/1"
    Then 2 calls were sent to agents

  Scenario: A server error clears nothing, as it may precede a crash
    Given a proxy with 3 endpoints
    When the relay reports 2 crashes on "/orders/1" to the proxy
    And a caller asks the proxy for "/orders/1"
    And the agent answers the call with status 504
    And the relay reports 3 crashes on "/orders/1" to the proxy
    And a caller asks the proxy for "/orders/1"
    Then the proxy refused call 2 as "quarantined" with a retry time

  Scenario: A call queued at an agent is cancelled when its request is quarantined
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And the relay reports 3 crashes on "/orders/1" to the proxy
    Then the agent was asked to cancel 1 call unless it has begun
    When the agent refuses the call as "deadline-too-short"
    Then call 1 failed as "quarantined" with outcome "not-run"

  Scenario: A call that waits for its link is not sent when its request is quarantined
    Given a proxy with one endpoint whose agent accepts no link
    When a caller asks the proxy for "/orders/1"
    And the relay reports 3 crashes on "/orders/1" to the proxy
    Then call 1 failed as "quarantined" with outcome "not-run"

  Scenario: A quarantined at-most-once call is refused before its idempotency key is claimed
    Given a proxy with one endpoint
    When the relay reports 3 crashes on a caller's order to the proxy
    And a caller places an order with key "k1"
    Then the proxy refused call 1 as "quarantined" with a retry time
    And no idempotency key was claimed

  Scenario: An upload is identified by its body
    Given a proxy with one endpoint
    When the relay reports 3 crashes on an upload of 25600 bytes to the proxy
    And a caller uploads 25600 bytes
    Then the proxy refused call 1 as "quarantined" with a retry time
    When a caller uploads 25856 bytes
    Then 1 call was sent to an agent

  Scenario: After the quarantine one trial call is admitted, and its answer ends the quarantine
    Given a proxy with 3 endpoints
    When the relay reports 3 crashes on "/orders/1" to the proxy
    And 240.0 seconds pass at the proxy
    And a caller asks the proxy for "/orders/1"
    And a caller asks the proxy for "/orders/1"
    Then 1 call was sent to an agent
    And the proxy refused call 2 as "quarantined" with a retry time
    When the agent answers the call
    And a caller asks the proxy for "/orders/1"
    Then 2 calls were sent to agents

  Scenario: A trial that crashes another back end doubles the quarantine and is not retried
    Given a proxy with 3 endpoints and retries left in its budget
    When the relay reports 3 crashes on "/orders/1" to the proxy
    And 240.0 seconds pass at the proxy
    And a caller asks the proxy for "/orders/1"
    And the back end of the call crashes with crash number 9
    Then 1 call was sent to an agent
    When 239.0 seconds pass at the proxy
    And a caller asks the proxy for "/orders/1"
    Then the proxy refused call 2 as "quarantined" with a retry time

  Scenario: A restarted relay gets its crash news from the proxies
    Given a proxy with one endpoint
    When the relay reports 3 crashes on "/orders/1" to the proxy
    And a relay that has just restarted sends full but empty crash news
    Then the proxy reported 3 crashes on "/orders/1" to the relay

  Scenario: Operators can release a request by its digest
    Given a proxy whose operators have released "/orders/1"
    When the relay reports 3 crashes on "/orders/1" to the proxy
    And a caller asks the proxy for "/orders/1"
    Then 1 call was sent to an agent
