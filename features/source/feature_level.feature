Feature: A group writes a record only when every member's build reads it

  A build that states no level (0) takes a zone drain for a resource without content, and would
  differ from the others in its state.

  Scenario Outline: A group founded by this build is at its level at once
    Given a group founded by <size> replicas of this build
    Then the group's first write may be a zone drain
    And no member set was written to the log

    Examples:
      | size |
      | 3    |
      | 5    |

  Scenario: A founder that has not come yet holds back nothing
    Given a group founded by 4 of 5 replicas of this build
    Then the group's first write may be a zone drain

  Scenario: A seeded group is at its level while it grows
    Given a seeded group of 5
    Then the group accepts a zone drain
    And every member set in the log was of level 3

  Scenario: Members that are down, elections and restarts don't take the level away
    Given a group founded by 3 replicas of this build
    When a follower of the group is down
    Then the group accepts a zone drain
    When that follower is up and the leader is down
    Then the group accepts another zone drain
    When all replicas of the group restart from their disks
    Then the group accepts a third zone drain

  Scenario: A group of an older build rises once all of its members have linked with this build
    Given a group of 3 whose disks an older build wrote
    When 2 of the members run this build and 1 an older one
    Then the group refuses a zone drain as not available now
    And the group still accepts a service
    When the last member runs this build as well
    Then the refused request is accepted when it is sent again, and runs once
    And the group's level 3 is in the log of every member

  Scenario: The level of an older group outlives a snapshot
    Given a group of 3 whose disks an older build wrote
    When all of its members run this build and the log is compacted
    Then the group accepts a zone drain
    When all replicas of the group restart from their disks
    Then the group accepts another zone drain

  Scenario: A member that goes back to an older build in place takes the level along
    Given a group founded by 3 replicas of this build
    When a follower goes back to an older build
    Then the group refuses a zone drain as not available now
    When that follower runs this build again
    Then the group accepts a zone drain

  Scenario: A member that went back counts before the log can say so
    Given a group founded by 3 replicas of this build
    When a follower goes back to an older build and links with a leader that has committed nothing
    Then that leader refuses a zone drain by the link alone

  Scenario: A member that is replaced by an older build, and that again by this one
    Given a group founded by 3 replicas of this build
    When a follower comes back with an empty disk and an older build
    Then the group has 3 voters, that one among them
    And the group refuses a zone drain as not available now
    When that replica comes back with an empty disk and this build
    Then the group has 3 voters, that one among them
    And the group accepts a zone drain

  Scenario: After a zone drain no older build is admitted
    Given a group founded by 3 replicas of this build
    When the group has accepted a zone drain and compacted it
    And a follower comes back with an empty disk and an older build
    Then the older build is not admitted, and 2036 is logged
    When another replica leads
    Then the older build is not admitted, and 2036 is logged

  Scenario: An older build on a disk that missed the zone drain is sent nothing
    Given a group founded by 3 replicas of this build
    When a follower is down while the group accepts a zone drain
    And that follower comes back with its disk and an older build
    Then it is sent no zone drain, and 2035 is logged
    And the group still accepts a service
    And the group accepts another zone drain
    When that follower runs this build again
    Then it holds what the leader holds

  Scenario: A zone drain marks the disk before it is written there
    Given a group founded by 3 replicas of this build
    Then no disk of the group is marked
    When the group has accepted a zone drain
    Then every disk of the group is marked with level 1
    When the zone drain is compacted
    Then every disk of the group is marked with level 1
    When a follower loses its disk and comes back
    Then every disk of the group is marked with level 1

  Scenario: A disk marked by a later build is refused with the reason
    Given a disk that is marked with level 4
    Then it is refused as holding records of level 4

  Scenario: A member of a build that reads all records, but is not of this level, holds back nothing
    Given a group founded by 3 replicas of this build
    When a follower goes back to a build of level 1
    Then the group accepts a zone drain
    When the zone drain is compacted
    Then every disk of the group is marked with level 1
    When that follower runs this build again
    Then the group accepts another zone drain
    And it holds what the leader holds
