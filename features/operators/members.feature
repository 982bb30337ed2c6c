Feature: Operators replace replicas of the source, one change at a time

  Background:
    Given a replicated source of 3 that the command line reaches

  Scenario: A lost machine is replaced by one of a new name, and another is lost right after
    When the operator applies a file of resources
    Then the command ends with 0 and prints "applied: version"
    When the replicated source loses the machine "c" and gets the new machine "d"
    And the operator runs "members promote d-unknown"
    Then the command ends with 1 and prints "not-found"
    When the operator runs "members add d"
    Then the command ends with 0 and prints "): learner"
    And the replicated source has the voters "a b c"
    When the operator promotes the learner "d"
    Then the command ends with 0 and prints "member d (d-"
    And the replicated source has the voters "a b c d"
    When the operator runs "members remove c-first"
    Then the command ends with 0 and prints "member d (d-"
    And the replicated source has the voters "a b d"
    When the replicated source loses the machine "b"
    And the operator runs "delete share/orders/stores"
    Then the command ends with 0 and prints "applied: version"
    When the operator runs "get"
    Then the command ends with 0 and prints "route/orders@"
    When the operator runs "members list"
    Then the command ends with 0 and prints "member b (b-first): voter"

  Scenario: A lost disk rejoins under its own name without an operator
    When the replicated source loses the disk of "c" and starts it again
    And the operator sees the members until "c" votes under a new identity
    Then the replicated source has the voters "a b c"

  Scenario: A change whose answer is lost is settled by a resend
    Given the replicated source loses the first answer to a change of members
    When the operator runs "members remove c-first"
    Then the command ends with 0 and prints "member a (a-first): voter"
    And the replicated source has the voters "a b"

  Scenario: A lost answer that another change has overtaken stays unknown
    Given the replicated source loses the first answer to a change of members to another change
    When the operator runs "members remove c-first"
    Then the command ends with 1 and prints "outcome: unknown"
    And the replicated source has the voters "a b"

  Scenario Outline: What is refused changes no member
    When the operator runs "<arguments>"
    Then the command ends with <status> and prints "<text>"
    And the replicated source has the voters "a b c"

    Examples:
      | arguments                                 | status | text           |
      | members add e                             | 1      | not-found      |
      | members remove c                          | 1      | not-found      |
      | members remove c-first --request-id wrong | 2      | UNIQUE         |

  Scenario: A change without a sound request id is refused at the door
    When the gRPC client removes a replica under a malformed request id
    Then the status is "INVALID_ARGUMENT" of kind "invalid-request"
