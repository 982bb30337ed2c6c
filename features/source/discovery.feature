Feature: A group that finds its members through seeds

  Scenario: Nothing is written before a commit survives the losses that the group is to bear
    Given a seeded group of 5 of which the 3 seeds run
    Then the seeded group refuses a write for want of voters
    When the rest of the seeded group starts
    Then the seeded group has 5 voters
    And the seeded group accepts a write

  Scenario: Replicas that are no seeds found nothing
    Given a seeded group of 5 of which only the others run
    When the seeded group runs for 10 seconds
    Then the seeded group has no leader

  Scenario: A machine that is gone gives way to one at another address
    Given a seeded group of 5
    When a machine of the seeded group is gone and another comes at a new address
    Then the seeded group has 5 voters, the new one among them
    When a machine of the seeded group is gone and another comes at a new address
    Then the seeded group has 5 voters, the new one among them
    And the seeded group still holds every write

  Scenario: A machine that is gone stays a voter while nothing can take its place
    Given a seeded group of 5
    When a machine of the seeded group is gone
    And the seeded group runs for 20 seconds
    Then the seeded group has 5 voters

  Scenario: Two disks are lost right after a write, while all others lose power
    Given a seeded group of 5
    When the seeded group accepts a write and loses 2 disks and the power of all
    Then the seeded group still holds every write
    And the seeded group has 5 voters

  Scenario: A minority misses writes, then another disk is lost
    Given a seeded group of 5
    When 2 replicas of the seeded group are cut off while it accepts a write
    And another replica of the seeded group loses its disk, and all go dark but those cut off
    Then the seeded group elects nobody until a replica with the write is back
    And the seeded group still holds every write

  Scenario: A planned stop hands leadership over at once
    Given a seeded group of 5
    When the leader of the seeded group is asked to stop
    Then another replica of the seeded group leads within 0.5 seconds

  Scenario: Members may be named badly
    Given a seeded group of 5
    When a stranger with the name "no address" asks the seeded group to join
    Then the seeded group has 5 voters

  Scenario Outline: A replica that the group went on without comes back as another
    Given a seeded group of 5 <state>
    When that replica <comes back>
    Then it is a learner under a new identity
    And it takes the place of the next machine that is gone
    And the seeded group still holds every write

    Examples:
      | state                                            | comes back                                |
      | that replaced a replica which is cut off         | can be reached again                      |
      | that replaced a replica which is cut off         | is restarted where it can be reached again |
      | with a learner that was silent for too long      | can be reached again                      |

  Scenario: A replica that was cut off for long and not replaced keeps its vote
    Given a seeded group of 5 with a replica that is cut off
    When that replica can be reached again
    Then it votes under the identity that it had
    And the seeded group still holds every write

  # Guards against a replica that never asks again after an admission which was not committed.
  Scenario: A replica whose admission was lost with the leader is admitted by the next
    Given a seeded group of 5 whose leader admitted a replica and was replaced before the commit
    When that replica can be reached again
    Then it is admitted as a learner under the identity that it had
    And the seeded group still holds every write

  Scenario: Drawn cuts, deaths, lost disks and machines that come and go leave a whole group
    When drawn disorder strikes 8 seeded groups, 25 times each
    Then each was whole again with every write, and replicas came back as others
