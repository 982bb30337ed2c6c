Feature: The proxy answers every call exactly once, with the answer to that call

  Scenario: A call that arrives before the first configuration is refused
    Given a proxy that holds no configuration
    When a caller asks the proxy for "/orders/1"
    Then the proxy refused call 1 as "no-configuration" with a retry time

  Scenario: Retry times grow while a proxy has no configuration
    Given a proxy that holds no configuration
    When a caller asks the proxy for "/orders/1"
    And 0.6 seconds pass at the proxy
    And a caller asks the proxy for "/orders/1"
    And 30.0 seconds pass at the proxy
    And a caller asks the proxy for "/orders/1"
    Then the callers got retry times of 0.25, 0.6 and 1.0 seconds

  Scenario: The longest path prefix of whole segments wins
    Given any routes and paths, the proxy's table agrees with a search through all prefixes

  Scenario: Paths with dot segments, encoded or not, are refused
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/../admin"
    And a caller asks the proxy for "/orders/%2e%2e/admin"
    Then the proxy refused call 1 as "invalid-request"
    And the proxy refused call 2 as "invalid-request"

  Scenario: A route's secrets replace the caller's headers of the same names
    Given a proxy with one endpoint
    When a caller sends header "x-order-key" as "forged" to "/orders/1"
    Then the sent call carries header "x-order-key" only as "order-secret"

  Scenario: A secret's header is removed on routes without that secret
    Given a proxy with one endpoint
    When a caller sends header "x-order-key" as "forged" to "/baskets/1"
    Then the sent call does not carry header "x-order-key"

  Scenario: Late and mismatched answers never reach another caller
    Given any order of valid, late and mismatched answers, every caller gets its own answer

  Scenario: The deadline cancels the attempt, and the call ends without a reply from the agent
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And 2.0 seconds pass at the proxy
    Then the agent was told to cancel
    When 0.1 seconds pass at the proxy
    Then call 1 failed as "deadline-exceeded" with outcome "unknown"

  Scenario: A call still in the agent's queue at its deadline is answered as not run
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And 2.0 seconds pass at the proxy
    And the agent refuses the call as "deadline-too-short"
    Then the proxy refused call 1 as "deadline-too-short" with a retry time
    And call 1 failed as "deadline-too-short" with outcome "not-run"

  Scenario: A call that a back end runs at its deadline is answered as unknown
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And 2.0 seconds pass at the proxy
    And the agent refuses the call as "cancelled"
    Then call 1 failed as "deadline-exceeded" with outcome "unknown"

  Scenario: An answer that crosses the cancel reaches its caller
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And 2.0 seconds pass at the proxy
    And the agent answers the call
    Then call 1 got the answer of its agent

  Scenario: The proxy grants flow-control credit for the chunks of a long answer
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And the agent answers with chunks of 200000, 65536 and 65536 bytes and a last one
    Then the proxy gave the agent credit for 131072 bytes
    And call 1 got an answer of 331082 bytes

  Scenario: A call whose body waits for credit at its deadline is answered at once as not run
    Given a proxy with one endpoint
    When a caller uploads 1048576 bytes
    And the agent gives credit for 524288 bytes
    And 2.0 seconds pass at the proxy
    Then the agent was told to cancel
    And the proxy refused call 1 as "deadline-too-short" with a retry time
    And call 1 failed as "deadline-too-short" with outcome "not-run"

  Scenario: A call whose body was sent completely may have run when its agent stays silent
    Given a proxy with one endpoint
    When a caller uploads 1048576 bytes
    And the agent gives credit for 1048576 bytes
    And 2.1 seconds pass at the proxy
    Then call 1 failed as "deadline-exceeded" with outcome "unknown"

  Scenario: A call whose link closes before its body was sent completely is sent elsewhere
    Given a proxy with 2 endpoints
    When a caller uploads 1048576 bytes
    And the agent gives credit for 524288 bytes
    And the agent's link is lost
    Then 2 calls were sent to agents

  Scenario: A call whose link closes before its body was sent completely is answered as not run
    Given a proxy with one endpoint
    When a caller uploads 1048576 bytes
    And the agent's link is lost
    Then the proxy refused call 1 as "connection-failed" with a retry time

  Scenario: A call that never left the send queue of a link that closes is sent elsewhere
    Given a proxy with 2 endpoints
    When a caller places an order with key "k1"
    And the agent's link is lost with the call in its send queue
    Then 2 calls were sent to agents
    When the agent answers the call
    Then call 1 got the answer of its agent

  Scenario: A call whose link closes after its body was sent completely may have run
    Given a proxy with one endpoint
    When a caller uploads 1048576 bytes
    And the agent gives credit for 1048576 bytes
    And the agent's link is lost
    Then call 1 failed as "connection-lost" with outcome "unknown"

  Scenario: At the stop limit, a call whose body waits for credit is answered as not run
    Given a proxy with one endpoint
    When a caller uploads 1048576 bytes
    And the proxy is asked to stop
    And the proxy's stop limit is reached
    Then the proxy refused call 1 as "draining" with a retry time

  Scenario: A begun call is never answered as not run, however many agents refuse it later
    Given a proxy with 3 endpoints and retries left in its budget
    When a caller asks the proxy for "/baskets/1"
    And the agent refuses the call as "backend-failed"
    And the agent refuses the call as "connection-failed"
    And the agent refuses the call as "draining"
    Then call 1 failed as "backend-failed" with outcome "unknown"

  Scenario: A call that only agents and refusing back ends had is answered as not run
    Given a proxy with 2 endpoints and retries left in its budget
    When a caller asks the proxy for "/baskets/1"
    And the agent refuses the call as "backend-refused"
    And the agent refuses the call as "overloaded"
    Then call 1 failed as "overloaded" with outcome "not-run"

  Scenario: A repeatable call on a connection that its instance gave up is retried within the budget
    Given a proxy with 2 endpoints and retries left in its budget
    When a caller asks the proxy for "/baskets/1"
    And the agent refuses the call as "connection-lost"
    And the agent answers the call
    Then call 1 got the answer of its agent

  Scenario: A call that may not be repeated ends as unknown on such a connection, and is sent once
    Given a proxy with 2 endpoints
    When a caller places an order with key "k1"
    And the agent refuses the call as "connection-lost"
    Then call 1 failed as "connection-lost" with outcome "unknown"
    And 1 call was sent to an agent

  Scenario: An instance with lost connections is not taken for dead while its others respond
    Given a proxy with one endpoint
    When 20 calls in a row end as "connection-lost"
    And a caller asks the proxy for "/orders/1"
    Then no endpoint was ejected

  Scenario: A call that expires before it is sent to an agent is answered as not run
    Given a proxy with one endpoint whose agent accepts no link
    When a caller that waits 100 ms asks for "/orders/1"
    And 0.2 seconds pass at the proxy
    Then call 1 failed as "deadline-too-short" with outcome "not-run"

  Scenario: A hanging dial delays only the calls that started it
    Given a proxy with 2 endpoints, the first of which answers no dial
    When callers ask until one call waits for the first endpoint's link
    And 0.06 seconds pass at the proxy
    And 20 further callers ask
    Then all 20 of those calls were sent to agents at once
    When 0.05 seconds pass at the proxy
    Then every call was sent to an agent

  Scenario: Calls wait for a hanging dial if there is no other endpoint
    Given a proxy with one endpoint whose agent accepts no link
    When a caller asks the proxy for "/orders/1"
    And 0.06 seconds pass at the proxy
    And a caller asks the proxy for "/orders/2"
    And the agent accepts the link
    Then 2 calls were sent to agents

  Scenario: An error status from a back end is passed on, not retried
    Given a proxy with 2 endpoints and retries left in its budget
    When a caller asks the proxy for "/baskets/1"
    And the agent answers the call with status 503
    Then call 1 got an answer with status 503
    And 1 call was sent to an agent

  Scenario Outline: A status that no final response has is never passed on to a caller
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And the agent answers the call with status <status>
    Then call 1 failed as "backend-failed" with outcome "unknown"

    Examples: Statuses
      | status     |
      | 0          |
      | 100        |
      | 199        |
      | 600        |
      | 4294967295 |

  Scenario Outline: A status that no final response has ends the attempt before its body
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And the agent begins an answer with status <status>
    Then call 1 failed as "backend-failed" with outcome "unknown"
    And the agent was told to cancel

    Examples: Statuses
      | status |
      | 0      |
      | 600    |

  Scenario: A recorded answer whose status no final response has is not replayed
    Given a proxy with one endpoint
    When a caller places an order with key "k"
    And the agent answers the call
    And the keepers hold the answer with status 0
    And a caller places an order with key "k"
    Then call 2 failed as "answer-not-kept" with outcome "ran"

  Scenario: A refusal by the agent is passed on to the caller
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And the agent refuses the call as "share-exhausted"
    Then the proxy refused call 1 as "share-exhausted" with a retry time

  Scenario: Every failure that advises a later retry has a Retry-After header
    Then any failure that the proxy renders has a Retry-After if its kind advises a delay

  Scenario: A call with an attempt that may have run is never answered as not run
    Given a proxy with 2 endpoints and retries left in its budget
    When a caller asks the proxy for "/baskets/1"
    And the agent's link is lost
    And the agent refuses the call as "overloaded"
    Then call 1 failed as "connection-lost" with outcome "unknown"

  Scenario: Retries stay within the budget while every agent is overloaded
    Given any number of calls to overloaded agents, retries stay within the budget

  Scenario: The retry budget is never exceeded
    Given any order of first attempts and retries, the retry budget holds

  Scenario: A call refused by a draining agent is retried at another agent
    Given a proxy with 2 endpoints
    When a caller asks the proxy for "/baskets/1"
    And the agent refuses the call as "draining"
    And the agent answers the call
    Then call 1 got the answer of its agent
    And the draining agent gets no further call

  Scenario: An agent that refuses a call as draining, and takes others, keeps getting calls
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And the agent refuses the call as draining, but takes others
    Then the proxy refused call 1 as "draining" with a retry time
    When a caller asks the proxy for "/orders/2"
    And the agent answers the call
    Then call 2 got the answer of its agent

  Scenario: A long body is sent within the agent's credit
    Given a proxy with one endpoint
    When a caller uploads 1048576 bytes
    Then the agent has 0 bytes of the upload
    When the agent gives credit for 524288 bytes
    Then the agent has 524288 bytes of the upload
    When the agent gives credit for 262144 bytes
    Then the agent has 786432 bytes of the upload
    When the agent gives credit for 262144 bytes
    Then the agent has the whole upload of 1048576 bytes

  Scenario: A short body is sent with the first message, without credit
    Given a proxy with one endpoint
    When a caller uploads 8192 bytes
    Then the agent has the whole upload of 8192 bytes

  Scenario: A large body is sent to another zone only after the agent grants credit
    Given a proxy in another zone than its one endpoint
    When a caller uploads 59904 bytes
    Then the agent has 0 bytes of the upload
    When the agent gives credit for 262144 bytes
    Then the agent has the whole upload of 59904 bytes

  Scenario: A call refused in another zone sends no body
    Given a proxy in another zone than its one endpoint
    When a caller uploads 59904 bytes
    And the agent refuses the call as "deadline-too-short"
    Then the proxy refused call 1 as "deadline-too-short" with a retry time
    And the agent has 0 bytes of the upload

  Scenario: A planned stop waits for the calls in flight
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And the proxy is asked to stop
    Then the proxy has not finished stopping
    When the agent answers the call
    Then call 1 got the answer of its agent
    And the proxy has finished stopping

  Scenario: A call that comes during a stop, and need not end within it, is refused at once
    Such calls were taken until half a second before the limit, and cut off while their instance was at work.
    Given a proxy with one endpoint
    When the proxy's stop begins, with 1.5 seconds for answers, and it listens for 0.5
    And a caller that waits 1600 ms asks for "/orders/1"
    And a caller asks the proxy for "/orders/2"
    Then the proxy refused call 1 as "draining" with a retry time
    And the proxy refused call 2 as "draining" with a retry time
    And 0 calls were sent to agents
    When a caller that waits 1400 ms asks for "/orders/3"
    And 0.2 seconds pass at the proxy
    And a caller that waits 1400 ms asks for "/orders/4"
    Then the proxy refused call 4 as "draining" with a retry time
    When the agent answers the call
    Then call 3 got the answer of its agent

  Scenario: A call whose route has lately answered in less time is taken while a stopping proxy listens
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And 0.8 seconds pass at the proxy
    And the agent answers the call
    And a caller asks the proxy for "/orders/2"
    And the agent answers the call
    And the proxy's stop begins, with 1.5 seconds for answers, and it listens for 1.0
    And 0.5 seconds pass at the proxy
    And a caller asks the proxy for "/orders/3"
    And 0.3 seconds pass at the proxy
    And a caller asks the proxy for "/orders/4"
    Then the proxy refused call 4 as "draining" with a retry time
    When the agent answers the call
    Then call 3 got the answer of its agent

  Scenario: Once a stopping proxy has closed its listener, only a call's deadline counts
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And 0.1 seconds pass at the proxy
    And the agent answers the call
    And the proxy's stop begins, with 1.5 seconds for answers, and it listens for 0.5
    And 0.6 seconds pass at the proxy
    And a caller asks the proxy for "/orders/2"
    And a caller that waits 800 ms asks for "/orders/3"
    Then the proxy refused call 2 as "draining" with a retry time
    When the agent answers the call
    Then call 3 got the answer of its agent

  Scenario: A call that is under way when a stop begins keeps its time
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And the proxy's stop begins, with 1.5 seconds for answers, and it listens for 0.5
    And the agent answers the call
    Then call 1 got the answer of its agent

  Scenario: Near the stop limit, calls that no back end has started are answered as not run
    Given a proxy with 2 endpoints and retries left in its budget
    When a caller asks the proxy for "/baskets/1"
    And the proxy is asked to stop
    And the proxy's stop limit is near
    Then the agent was told to cancel unless the call had begun
    When the agent refuses the call as "deadline-too-short"
    Then the proxy refused call 1 as "deadline-too-short" with a retry time
    And the proxy has finished stopping
    And 1 call was sent to an agent

  Scenario: Near the stop limit, a call that a back end has started still gets its answer
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

  Scenario: Near the stop limit, new calls are refused
    Given a proxy with one endpoint
    When the proxy is asked to stop
    And the proxy's stop limit is near
    And a caller asks the proxy for "/orders/1"
    Then the proxy refused call 1 as "draining" with a retry time
    And 0 calls were sent to agents

  Scenario: At the stop limit, a call without a reply from its agent is answered as unknown
    Given a proxy with 2 endpoints and retries left in its budget
    When a caller asks the proxy for "/baskets/1"
    And the proxy is asked to stop
    And the proxy's stop limit is near
    And the proxy's stop limit is reached
    Then call 1 failed as "backend-failed" with outcome "unknown"
    And the agent was told to cancel unless the call had begun
    And 1 call was sent to an agent
    And the proxy has finished stopping

  Scenario: At the stop limit, a call whose deadline has passed is answered once, as unknown
    Given a proxy with one endpoint
    When a caller asks the proxy for "/orders/1"
    And 2.0 seconds pass at the proxy
    And the proxy is asked to stop
    And the proxy's stop limit is reached
    And the agent answers the call
    Then call 1 failed as "backend-failed" with outcome "unknown"
    And the proxy has finished stopping

  Scenario: At the stop limit, an answer is sent even if the keepers have not confirmed its record
    Given a proxy with one endpoint
    When a caller places an order with key "k1"
    And the keepers confirm no recorded answer
    And the agent answers the call
    And the proxy is asked to stop
    And the proxy's stop limit is reached
    Then call 1 got the answer of its agent
    And the proxy has finished stopping

  Scenario: A stopping proxy waits for an at-most-once call whose caller disconnected
    Given a proxy with one endpoint
    When a caller places an order with key "k1"
    And the caller of call 1 disconnects
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

  Scenario: The edge limits body sizes and answers requests in flight at a stop
    Given an HTTP edge on loopback
    Then a body over the limit is refused with 413
    And a request in flight when the edge stops is answered completely

  Scenario: Unread answers limit the calls that the edge accepts
    Given an HTTP edge on loopback with a limit of 100000 unread answer bytes
    When a caller of the edge does not read its answer of 50000000 bytes
    Then the edge refuses further calls with 503, NOT RUN and a Retry-After
    And the edge accepts calls again once that caller has disconnected
