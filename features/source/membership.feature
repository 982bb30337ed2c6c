Feature: A lost disk is a lost vote

  Scenario: A lost disk rejoins under a new identity though bootstrap was left on
    Given a replica group of 3
    And a replica group accepts 10 writes
    When a replica group loses the disk of a follower
    And a replica group accepts 5 writes
    And a replica group gets the lost replica back with an empty disk
    Then a replica group replaces the lost identity by a new one of the same name
    And a replica group holds the last version on every replica

  Scenario: A second loss right after the repair loses no committed entry
    Given a replica group of 3
    And a replica group accepts 10 writes
    When a replica group loses the disk of a follower
    And a replica group accepts 5 writes
    And a replica group gets the lost replica back with an empty disk
    Then a replica group replaces the lost identity by a new one of the same name
    When a replica group loses the disk of another voter at once
    Then a replica group still holds every write after its leader restarts
    When a replica group gets the lost replica back with an empty disk
    Then a replica group replaces the lost identity by a new one of the same name

  Scenario: A former leader admits no identity that was lost meanwhile
    Given a replica group of 3
    When a replica group loses the disk of a follower
    And a replica group gets the lost replica back with an empty disk
    Then a replica group replaces the lost identity by a new one of the same name
    When a replica group moves its leadership to the replica never lost
    And a replica group loses the disk of the replica lost before
    And a replica group cuts its former leader off from the replica lost before
    And a replica group gets the lost replica back with an empty disk
    Then a replica group replaces the lost identity by a new one of the same name
    When a replica group gets its former leader back
    Then a replica group has no member but its 3 voters

  Scenario: Changes of members come one at a time
    Given a replica group of 3
    When a replica group is asked for two removals at once
    Then a replica group carries out the first and has the second try again

  Scenario: A change that is sent again gets the answer of the first sending
    Given a replica group of 3
    When a replica group is asked for a removal, and again before and after its commit
    Then a replica group answers all three alike and has changed its members once

  Scenario: A removed replica stays out
    Given a replica group of 3
    When a replica group is asked to remove a follower
    Then a replica group goes on with 2 voters and does not take the removed one back
