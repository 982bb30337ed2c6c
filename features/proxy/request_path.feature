Feature: A proxy answers every call once, with the answer to that call

  Scenario: A call before any configuration is refused at once
    Given a proxy that holds no configuration
    When a caller asks the proxy for "/orders/1"
    Then the proxy refused call 1 as "no-configuration" with a retry time

  Scenario: The longer a proxy has no configuration, the later callers are told to come back
    Given a proxy that holds no configuration
    When a caller asks the proxy for "/orders/1"
    And 0.6 seconds pass at the proxy
    And a caller asks the proxy for "/orders/1"
    And 30.0 seconds pass at the proxy
    And a caller asks the proxy for "/orders/1"
    Then the callers were told to come back after 0.25, 0.6 and 1.0 seconds

  Scenario: The closest path prefix wins, on whole segments
    Given any routes and paths, the proxy's table agrees with a search through all prefixes

  Scenario: Paths that a back end may read as another path are refused
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/../admin"
    And a caller asks the proxy for "/orders/%2e%2e/admin"
    Then the proxy refused call 1 as "invalid-request"
    And the proxy refused call 2 as "invalid-request"

  Scenario: A route's secrets replace whatever a caller sends under their headers
    Given a proxy with one endpoint
    When a caller sends header "x-order-key" as "forged" to "/orders/1"
    Then the handed on call carries header "x-order-key" only as "order-secret"

  Scenario: A secret's header never passes on a route without that secret
    Given a proxy with one endpoint
    When a caller sends header "x-order-key" as "forged" to "/baskets/1"
    Then the handed on call does not carry header "x-order-key"

  Scenario: Late and crossed answers never reach another caller
    Given any order of true, late and crossed answers, every caller gets its own answer

  Scenario: The deadline cancels the attempt, and the proxy waits for a silent agent no longer
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And 2.0 seconds pass at the proxy
    Then the agent was told to cancel
    When 0.1 seconds pass at the proxy
    Then the caller of call 1 was told "deadline-exceeded" and outcome "unknown"

  Scenario: A call that only waited in the agent's queue until its deadline says not run
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And 2.0 seconds pass at the proxy
    And the agent refuses the call as "deadline-too-short"
    Then the proxy refused call 1 as "deadline-too-short" with a retry time
    And the caller of call 1 was told "deadline-too-short" and outcome "not-run"

  Scenario: A call that ran into its deadline says that the outcome is unknown
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And 2.0 seconds pass at the proxy
    And the agent refuses the call as "cancelled"
    Then the caller of call 1 was told "deadline-exceeded" and outcome "unknown"

  Scenario: An answer that crosses the cancel reaches its caller
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And 2.0 seconds pass at the proxy
    And the agent answers the call
    Then call 1 got the answer of its agent

  Scenario: The proxy gives credit for the parts of a long answer
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And the agent answers with parts of 200000, 65536 and 65536 bytes and one more
    Then the proxy gave the agent credit for 131072 bytes
    And call 1 got an answer of 331082 bytes

  Scenario: A deadline that passes before the call is handed on says not run
    Given a proxy with one endpoint whose agent accepts no link
    When a caller that waits 100 ms asks for "/orders/1"
    And 0.2 seconds pass at the proxy
    Then the caller of call 1 was told "deadline-too-short" and outcome "not-run"

  Scenario: A dial that hangs holds up the calls that began it, and no later ones
    Given a proxy with 2 endpoints, the first of which answers no dial
    When callers ask until one call waits for the first endpoint's link
    And 0.06 seconds pass at the proxy
    And 20 callers ask at that moment
    Then all 20 of those calls were handed on at once
    When 0.05 seconds pass at the proxy
    Then every call was handed on

  Scenario: A dial that hangs is waited for where there is no other endpoint
    Given a proxy with one endpoint whose agent accepts no link
    When a caller asks the proxy for "/orders/1"
    And 0.06 seconds pass at the proxy
    And a caller asks the proxy for "/orders/2"
    And the agent's link comes up
    Then 2 calls were handed on

  Scenario: A failure that a back end answers with is passed on, not retried
    Given a proxy with 2 endpoints and retries for every call
    When a caller asks the proxy for "/baskets/1"
    And the agent answers the call with status 503
    Then call 1 got an answer with status 503
    And 1 call was handed on

  Scenario: A refusal by the agent is answered at once
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And the agent refuses the call as "share-exhausted"
    Then the proxy refused call 1 as "share-exhausted" with a retry time

  Scenario: Every answer that says to come back later names a time
    Then any failure that the proxy renders has a Retry-After if its kind advises a delay

  Scenario: A failure after an attempt that may have run never says not run
    Given a proxy with 2 endpoints and retries for every call
    When a caller asks the proxy for "/baskets/1"
    And the agent's link is lost
    And the agent refuses the call as "overloaded"
    Then the caller of call 1 was told "connection-lost" and outcome "unknown"

  Scenario: Retries stay within the budget while every agent is overloaded
    Given any number of calls to overloaded agents, retries stay within the budget

  Scenario: The retry budget is never passed
    Given any order of fresh calls and retries, the retry budget holds

  Scenario: A leaving agent costs its callers nothing
    Given a proxy with 2 endpoints
    When a caller asks the proxy for "/baskets/1"
    And the agent refuses the call as "draining"
    And the agent answers the call
    Then call 1 got the answer of its agent
    And the leaving agent gets no further call

  Scenario: A long body follows the agent's credit
    Given a proxy with one endpoint
    When a caller uploads 1048576 bytes
    Then the agent has 0 bytes of the upload
    When the agent gives credit for 524288 bytes
    Then the agent has 524288 bytes of the upload
    When the agent gives credit for 262144 bytes
    Then the agent has 786432 bytes of the upload
    When the agent gives credit for 262144 bytes
    Then the agent has the whole upload of 1048576 bytes

  Scenario: A short body travels with its call, and is not asked for
    Given a proxy with one endpoint
    When a caller uploads 8192 bytes
    Then the agent has the whole upload of 8192 bytes

  Scenario: A large body goes to another zone only once the agent there asks for it
    Given a proxy in another zone than its one endpoint
    When a caller uploads 59904 bytes
    Then the agent has 0 bytes of the upload
    When the agent gives credit for 262144 bytes
    Then the agent has the whole upload of 59904 bytes

  Scenario: A call that is refused in another zone has cost no body
    Given a proxy in another zone than its one endpoint
    When a caller uploads 59904 bytes
    And the agent refuses the call as "deadline-too-short"
    Then the proxy refused call 1 as "deadline-too-short" with a retry time
    And the agent has 0 bytes of the upload

  Scenario: A planned stop waits for what is in flight
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And the proxy is asked to stop
    Then the proxy has not finished stopping
    When the agent answers the call
    Then call 1 got the answer of its agent
    And the proxy has finished stopping

  Scenario: Near the stop limit, calls that no back end has begun are answered as not run
    Given a proxy with 2 endpoints and retries for every call
    When a caller asks the proxy for "/baskets/1"
    And the proxy is asked to stop
    And the proxy's stop limit is near
    Then the agent was told to cancel unless the call had begun
    When the agent refuses the call as "deadline-too-short"
    Then the proxy refused call 1 as "deadline-too-short" with a retry time
    And the proxy has finished stopping
    And 1 call was handed on

  Scenario: Near the stop limit, a call that a back end has begun still gets its answer
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And the proxy is asked to stop
    And the proxy's stop limit is near
    And the agent answers the call
    Then call 1 got the answer of its agent
    And the proxy has finished stopping

  Scenario: Near the stop limit, a call without a link is answered as not run
    Given a proxy with one endpoint whose agent accepts no link
    When a caller asks the proxy for "/orders/1"
    And the proxy is asked to stop
    And the proxy's stop limit is near
    Then the proxy refused call 1 as "draining" with a retry time
    And the proxy has finished stopping

  Scenario: Near the stop limit, a call that arrives is refused at once
    Given a proxy with one endpoint
    When the proxy is asked to stop
    And the proxy's stop limit is near
    And a caller asks the proxy for "/orders/1"
    Then the proxy refused call 1 as "draining" with a retry time
    And 0 calls were handed on

  Scenario: At the stop limit, a call whose agent says nothing is answered as unknown
    Given a proxy with 2 endpoints and retries for every call
    When a caller asks the proxy for "/baskets/1"
    And the proxy is asked to stop
    And the proxy's stop limit is near
    And the proxy's stop limit is reached
    Then the caller of call 1 was told "backend-failed" and outcome "unknown"
    And the agent was told to cancel unless the call had begun
    And 1 call was handed on
    And the proxy has finished stopping

  Scenario: At the stop limit, a call whose deadline has passed is answered once, as unknown
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And 2.0 seconds pass at the proxy
    And the proxy is asked to stop
    And the proxy's stop limit is reached
    And the agent answers the call
    Then the caller of call 1 was told "backend-failed" and outcome "unknown"
    And the proxy has finished stopping

  Scenario: At the stop limit, an answer whose record the keepers have not confirmed goes out
    Given a proxy with one endpoint
    When a caller places an order with key "k1"
    And the keepers confirm no record
    And the agent answers the call
    And the proxy is asked to stop
    And the proxy's stop limit is reached
    Then call 1 got the answer of its agent
    And the proxy has finished stopping

  Scenario: A call whose caller has left runs on while the proxy stops, until the limit
    Given a proxy with one endpoint
    When a caller places an order with key "k1"
    And the caller of call 1 leaves
    And the proxy is asked to stop
    Then the proxy has not finished stopping
    When the agent answers the call
    Then the proxy has finished stopping

  Scenario: At the stop limit, a call that waits for its link is answered as not run
    Given a proxy with one endpoint whose agent accepts no link
    When a caller asks the proxy for "/orders/1"
    And the proxy is asked to stop
    And the proxy's stop limit is reached
    Then the proxy refused call 1 as "draining" with a retry time
    And the proxy has finished stopping

  Scenario: The edge bounds bodies and finishes what is in flight at a stop
    Given an HTTP edge on loopback
    Then a body over the limit is refused with 413
    And a request in flight when the edge stops is answered whole

  Scenario: Answers that callers do not take bound the calls that are let in
    Given an HTTP edge on loopback that may hold 100000 bytes of answers
    When a caller of the edge does not take its answer of 50000000 bytes
    Then the edge refuses further calls with 503, NOT RUN and a Retry-After
    And the edge lets calls in again once that caller has left
