Feature: Operators race, resend and write to leaders that were deposed

  Scenario: Of two leaders at once only one accepts, and the write to the other is not lost silently
    Given a replica group of 3
    And a replica group accepts 1 writes
    When a replica group freezes its leader until another one leads
    And a replica group writes to the new leader, expecting the current version
    And a replica group writes to the former leader as it goes on, expecting the same version
    Then a replica group accepts the first and calls the second unknown
    And a replica group refuses the second as a conflict, however often it is resent

  Scenario: A write to a deposed leader runs once when it is resent
    Given a replica group of 3
    And a replica group accepts 1 writes
    When a replica group freezes its leader until another one leads
    And a replica group writes to the former leader as it goes on
    Then a replica group answers that write as unknown
    And a replica group settles the write by one version however often it is resent

  Scenario: A write that outlives its leader's partition keeps its first outcome
    Given a replica group of 3
    And a replica group accepts 1 writes
    When a replica group cuts its leader off once one follower holds a write
    Then a replica group answers that write as unknown
    When that follower of the replica group leads
    Then a replica group settles the write by one version however often it is resent
    And the settled write of the replica group was committed once, though it was sent three times

  Scenario: A storm of operators over partitions, frozen leaders and restarts
    Then a replica group of 3 keeps its word to operators under 12 seeds of disorder
    And a replica group of 5 keeps its word to operators under 4 seeds of disorder
