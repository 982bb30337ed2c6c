Feature: A proxy keeps requests from back ends under which others have ended

  Scenario: From its third crash on a request is refused at once, and says that it was not run
    Given a proxy with 3 endpoints
    When the relay tells the proxy of 2 crashes under "/orders/1"
    And a caller asks the proxy for "/orders/1"
    Then 1 call was sent to an agent
    When the relay tells the proxy of 3 crashes under "/orders/2"
    And a caller asks the proxy for "/orders/2"
    Then the proxy refused call 2 as "quarantined" with a retry time
    And call 2 failed as "quarantined" with outcome "not-run"
    And the caller of call 2 was told to come back after 60 seconds or later
    When a caller asks the proxy for "/orders/3"
    Then 2 calls were sent to agents

  Scenario: A second try serves whoever merely shared the back end, a third would cost another
    Given a proxy with 3 endpoints and retries left in its budget
    When a caller asks the proxy for "/orders/1"
    And the back end of the call ends as crash 1
    Then 2 calls were sent to agents
    And the call that is open tells its agent of 1 ends in a row
    When the back end of the call ends as crash 2
    Then 2 calls were sent to agents
    And call 1 failed as "backend-crashed" with outcome "unknown"
    And the relay was told by the proxy of 2 crashes under "/orders/1"

  Scenario: Calls that were sent before any crash was known don't add up
    Given a proxy with 3 endpoints
    When a caller asks the proxy for "/orders/1"
    And a caller asks the proxy for "/orders/1"
    And a caller asks the proxy for "/orders/1"
    And the back end of the call ends as crash 1
    And the back end of the call ends as crash 2
    And the back end of the call ends as crash 3
    And a caller asks the proxy for "/orders/1"
    Then 4 calls were sent to agents

  Scenario: An answer clears, and the relay hears of it
    Given a proxy with 3 endpoints
    When the relay tells the proxy of 2 crashes under "/orders/1"
    And a caller asks the proxy for "/orders/1"
    And the agent answers the call
    Then the relay was told by the proxy that 2 crashes under "/orders/1" are cleared
    When the relay tells the proxy of 3 crashes under "/orders/1"
    And a caller asks the proxy for "/orders/1"
    Then 2 calls were sent to agents

  Scenario: A failure at the deadline clears nothing: it may have come before the end
    Given a proxy with 3 endpoints
    When the relay tells the proxy of 2 crashes under "/orders/1"
    And a caller asks the proxy for "/orders/1"
    And the agent answers the call with status 504
    And the relay tells the proxy of 3 crashes under "/orders/1"
    And a caller asks the proxy for "/orders/1"
    Then the proxy refused call 2 as "quarantined" with a retry time

  Scenario: What waits at an agent as its request is convicted comes back unrun
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And the relay tells the proxy of 3 crashes under "/orders/1"
    Then the agent was asked to give up 1 call unless it has begun
    When the agent refuses the call as "deadline-too-short"
    Then call 1 failed as "quarantined" with outcome "not-run"

  Scenario: A call that waits for its link as its request is convicted is not sent
    Given a proxy with one endpoint whose agent accepts no link
    When a caller asks the proxy for "/orders/1"
    And the relay tells the proxy of 3 crashes under "/orders/1"
    Then call 1 failed as "quarantined" with outcome "not-run"

  Scenario: An at-most-once call is refused before it is claimed, so that its key stays free
    Given a proxy with one endpoint
    When the relay tells the proxy of 3 crashes under the order of a caller
    And a caller places an order with key "k1"
    Then the proxy refused call 1 as "quarantined" with a retry time
    And no key was claimed

  Scenario: An upload is known by its body
    Given a proxy with one endpoint
    When the relay tells the proxy of 3 crashes under an upload of 25600 bytes
    And a caller uploads 25600 bytes
    Then the proxy refused call 1 as "quarantined" with a retry time
    When a caller uploads 25856 bytes
    Then 1 call was sent to an agent

  Scenario: After its time one call at a time tries; an answer ends the quarantine
    Given a proxy with 3 endpoints
    When the relay tells the proxy of 3 crashes under "/orders/1"
    And 240.0 seconds pass at the proxy
    And a caller asks the proxy for "/orders/1"
    And a caller asks the proxy for "/orders/1"
    Then 1 call was sent to an agent
    And the proxy refused call 2 as "quarantined" with a retry time
    When the agent answers the call
    And a caller asks the proxy for "/orders/1"
    Then 2 calls were sent to agents

  Scenario: A try that ends another back end lasts twice as long, without a second try
    Given a proxy with 3 endpoints and retries left in its budget
    When the relay tells the proxy of 3 crashes under "/orders/1"
    And 240.0 seconds pass at the proxy
    And a caller asks the proxy for "/orders/1"
    And the back end of the call ends as crash 9
    Then 1 call was sent to an agent
    When 239.0 seconds pass at the proxy
    And a caller asks the proxy for "/orders/1"
    Then the proxy refused call 2 as "quarantined" with a retry time

  Scenario: A relay that knows nothing yet is told by the proxies
    Given a proxy with one endpoint
    When the relay tells the proxy of 3 crashes under "/orders/1"
    And a relay that has just started tells all it knows, which is nothing
    Then the relay was told by the proxy of 3 crashes under "/orders/1"

  Scenario: Operators release a request by its digest
    Given a proxy whose operators have released "/orders/1"
    When the relay tells the proxy of 3 crashes under "/orders/1"
    And a caller asks the proxy for "/orders/1"
    Then 1 call was sent to an agent
