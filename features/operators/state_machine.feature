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
    Then the second answer is the first one with its changes, marked as repeated

  Scenario: A refused request stays refused when it is resent
    When a batch that was refused is resent after its cause is gone
    Then the batch is refused as "dangling-reference" naming "service/gone"

  Scenario: A request id that comes back with other content is a conflict
    When a request id comes back with other content
    Then the batch is refused as "conflict" naming nothing

  Scenario: A resend across a change of the sealing key does not claim that nothing ran
    When a batch with a secret ran and is resent after the sealing key was changed
    Then the batch is refused as "request-expired" naming nothing
    And the refusal does not say that the request was not run

  Scenario: A request id from beyond the log is refused and leaves no record
    When a batch has a request id from beyond the log
    Then the batch is refused as "invalid-request" naming nothing

  Scenario: A resend past the bound does not claim that nothing ran, and fresh ids still work
    When as many requests as are kept follow a batch that ran and then it is resent
    Then the batch is refused as "request-expired" naming nothing
    And the refusal does not say that the request was not run
    And a fresh request is accepted

  Scenario: A route that takes another's calls is refused, with both named
    When a batch puts the route "other" at "/orders" for "POST GET"
    Then the batch is refused as "overlapping" naming "route/orders, route/other"
    And the state is unchanged

  Scenario Outline: What was not there when an operator looked is seen when the batch is applied
    When a batch puts the route "first" at "/carts" for "GET POST"
    And a batch puts the route "second" at "<prefix>" for "<methods>"
    Then the batch is <answer>

    Examples:
      | prefix  | methods     | answer                                                    |
      | /carts  | POST DELETE | refused as "overlapping" naming "route/first, route/second" |
      | /carts  | any         | refused as "overlapping" naming "route/first, route/second" |
      | /carts  | DELETE PUT  | accepted in its own version                               |
      | /carts/ | GET         | accepted in its own version                               |

  Scenario: A route makes room for another within one batch
    When a batch moves the route "orders" away and puts another one in its place
    Then the batch is accepted in its own version

  Scenario: Two secrets that set one header on a route are refused, with all sides named
    When a batch puts the secret "second" with the header "x-KEY"
    And a batch puts the route "orders" with the secrets "key second"
    Then the batch is refused as "overlapping" naming "route/orders, secret/key, secret/second"

  Scenario: A secret can't take the header of another one on a route that stands
    When a batch puts the secret "second" with the header "x-other"
    And a batch puts the route "orders" with the secrets "key second"
    Then the batch is accepted in its own version
    When a batch puts the secret "second" with the header "x-key"
    Then the batch is refused as "overlapping" naming "route/orders, secret/key, secret/second"

  Scenario: An entry of the log keeps the rules under which it was proposed
    When an entry from before the rule on overlaps puts a route that takes another's calls
    Then the batch is accepted in its own version

  Scenario: Random batches keep all references whole on replicas that agree
    When replicas apply random batches, one of them from snapshots
    Then no reference dangles, nothing overlaps, no version goes back and the replicas are equal

  Scenario: Secrets at rest open under their own name and key only
    When a secret value is sealed
    Then it opens under its name with an older key and fails under another name or damaged

  Scenario: A key that another tenant has is refused, with both named and no key told
    When a batch puts the tenant "north" with the keys "one two"
    And a batch puts the tenant "south" with the keys "three two"
    Then the batch is refused as "overlapping" naming "tenant/north, tenant/south"
    And the refusal holds neither a key nor a digest of "one two three"

  Scenario: A key moves between tenants in one batch, and is free once its tenant is gone
    When a batch puts the tenant "north" with the keys "one two"
    And a batch moves the key "two" from the tenant "north" to the tenant "south"
    Then the batch is accepted in its own version
    When a batch deletes "tenant/north"
    And a batch puts the tenant "south" with the keys "one two"
    Then the batch is accepted in its own version

  Scenario: A key that has moved is known as its new tenant's, in whatever order the batch named them
    When a batch puts the tenant "south" with the keys "one"
    And a batch moves the key "one" from the tenant "south" to the tenant "north"
    And a batch puts the tenant "east" with the keys "one"
    Then the batch is refused as "overlapping" naming "tenant/east, tenant/north"

  Scenario: A state from a snapshot knows whose a key is
    When a batch puts the tenant "north" with the keys "one two"
    And the state machine is restored from its snapshot
    And a batch puts the tenant "south" with the keys "two"
    Then the batch is refused as "overlapping" naming "tenant/north, tenant/south"

  Scenario Outline: A tenant that is <flaw> is refused at the door
    Then a tenant that is <flaw> has just the problem of its <field>

    Examples:
      | flaw                         | field       |
      | without a name               | name        |
      | with a digest of 31 bytes    | key_digests |
      | with an empty digest         | key_digests |
      | with a key twice             | key_digests |
      | with 65 keys                 | key_digests |
      | of a negative rate           | rate_per_s  |
      | of a rate that is no number  | rate_per_s  |
      | of an endless rate           | rate_per_s  |
      | of a negative burst          | burst       |
      | of a burst that is no number | burst       |
      | of a priority of 101         | priority    |

  Scenario: Two tenants of one batch with one key are refused at the door
    Then a batch of the tenants "north" and "south" with the key "one" each has just one problem
