Feature: The replicated state machine applies a batch whole or not at all

  Background:
    Given a state machine with the service "orders", the secret "key" and the route "orders" to both

  Scenario: A batch that is sound takes the log index as its version
    When a sound batch puts the service "catalogue"
    Then the batch is accepted in its own version

  Scenario: A route to a missing service is refused with the names, and nothing of it applies
    When a batch puts the new service "new" and a route to the missing service "gone"
    Then the batch is refused as "dangling-reference" naming "service/gone"
    And the state is unchanged

  Scenario: A route to a missing secret is refused
    When a batch puts a route to the missing secret "gone"
    Then the batch is refused as "dangling-reference" naming "secret/gone"

  Scenario: A share of a missing service is refused
    When a batch puts a share of the missing service "gone"
    Then the batch is refused as "dangling-reference" naming "service/gone"

  Scenario Outline: What is still used can't be deleted
    When a batch deletes "<key>"
    Then the batch is refused as "still-referenced" naming "<key>"
    And the state is unchanged

    Examples:
      | key            |
      | service/orders |
      | secret/key     |

  Scenario: A service goes together with what uses it
    When a batch deletes "route/orders, service/orders"
    Then the batch is accepted in its own version

  Scenario: Deleting what does not exist is refused
    When a batch deletes "route/none"
    Then the batch is refused as "not-found" naming "route/none"

  Scenario: Of two writes with the same expected version one wins
    When two batches expect the current version
    Then the first is accepted and the second is a conflict with the version of the first

  Scenario: A batch that changes nothing takes no new version
    When the batch of the background is sent under a new request id
    Then the batch is accepted without a new version

  Scenario: A resend gets the first answer and does not run again
    When a batch is sent twice under one request id
    Then the second answer is the first one, marked as repeated

  Scenario: A refused request stays refused when it is resent
    When a batch that was refused is resent after its cause is gone
    Then the batch is refused as "dangling-reference" naming "service/gone"

  Scenario: A request id that comes back with other content is a conflict
    When a request id comes back with other content
    Then the batch is refused as "conflict" naming nothing

  Scenario: A request id from beyond the log is refused and leaves no record
    When a batch has a request id from beyond the log
    Then the batch is refused as "invalid-request" naming nothing

  Scenario: A resend past the bound does not claim that nothing ran, and fresh ids still work
    When as many requests as are kept follow a batch that ran and then it is resent
    Then the batch is refused as "request-expired" naming nothing
    And the refusal does not say that the request was not run
    And a fresh request is accepted

  Scenario: Random batches keep all references whole on replicas that agree
    When replicas apply random batches, one of them from snapshots
    Then no reference dangles, no version goes back and the replicas are equal

  Scenario: Secrets at rest open under their own name and key only
    When a secret value is sealed
    Then it opens under its name with an older key and fails under another name or damaged
