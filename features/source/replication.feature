Feature: The source's log is replicated by majority

  Scenario: A first start needs every replica of three and then elects a leader
    Given a replica group of 3 with empty disks of which 2 start
    When a replica group runs for 5 seconds
    Then a replica group has no leader
    When the rest of a replica group starts
    Then a replica group elects a leader

  Scenario: A write is applied by every replica
    Given a replica group of 3
    When a replica group accepts 20 writes
    Then a replica group holds the last version on every replica

  Scenario: A group of five goes on with two replicas down
    Given a replica group of 5
    When a replica group loses a follower's process
    And a replica group loses the disk of a follower
    And a replica group accepts 5 writes
    Then a replica group holds the last version on every replica

  # Guards against a group without a leader whose logs say nothing.
  Scenario: A replica that can't be elected reports how many support it and are reached
    Given a replica group of 3
    When a replica group accepts 3 writes
    Then no replica of a group has reported a missing leader
    When all replicas of a group but the leader are killed, and it is started again
    Then it reports a missing leader with 1 supporter of 3 voters and 0 links

  Scenario: A group whose replicas all restart leads again within a second
    Given a replica group of 5
    And a replica group accepts 3 writes
    When every replica of a group is killed and starts again at once, 10 times
    Then a replica group had a leader within 1 second each time

  Scenario: A replica that restarts alone does not unseat the leader
    Given a replica group of 5
    And a replica group accepts 1 writes
    When each follower of a group is killed and starts again at once, one after the other
    Then a replica group still has the leader it had, in the same term

  Scenario: Two leaders never commit in one term and no accepted write is lost
    Then a replica group of 3 keeps its promises under 20 seeds of disorder
    And a replica group of 5 keeps its promises under 6 seeds of disorder

  Scenario: An entry counts only once it is synced
    Given a replica group of 3
    Then a replica group accepts no write while the disks of both followers hang

  Scenario: Entries of earlier terms commit only behind one of the leader's own
    When a replica group starts a replica alone that holds 2 entries of term 1
    Then a replica group commits up to 0 once a follower holds entry 2
    And a replica group commits up to 3 once a follower holds entry 3

  Scenario: A leader that is cut off steps down and its open write settles by a resend
    Given a replica group of 3
    When a replica group cuts off its leader
    Then a replica group answers a write at the cut-off leader as unknown
    When a replica group heals
    Then a replica group settles the write by one version however often it is resent

  Scenario: A leader that is cut off serves no read
    Given a replica group of 3
    And a replica group accepts 1 writes
    When a replica group cuts off its leader
    Then a replica group refuses a read at the cut-off leader

  Scenario: Followers name the leader
    Given a replica group of 3
    And a replica group accepts 1 writes
    Then a replica group sends operators of a follower to the leader

  Scenario: Operators race and resend
    Given a replica group of 3
    When a replica group accepts 1 writes
    Then a replica group lets one of two racing writes with equal expected versions win
    And a replica group gives a resend of an open write the answer of the same entry

  Scenario: A replica far behind is caught up by a snapshot
    Given a replica group of 3 that takes a snapshot every 10 entries
    When a replica group loses a follower's process
    And a replica group accepts 35 writes
    And a replica group gets the follower's process back
    Then a replica group holds the last version on every replica
    And a replica group has sent a snapshot

  Scenario: A follower whose log was rolled back is told of, caught up and keeps nobody busy
    Given a replica group of 3
    And a replica group accepts 5 writes
    When a replica group rolls a follower's log back
    And a replica group accepts 5 writes
    Then a replica group sends at most 40 messages a second when idle
    And a replica group has reported the follower that was rolled back
    And a replica group holds the last version on every replica

  Scenario: What a follower lost counts for no majority
    Given a replica group of 5
    And a replica group accepts 5 writes
    When a replica group rolls a follower's log back
    Then a replica group's leader counts the follower as behind

  Scenario: What ends is told twice and ends once
    Given a replica group of 3
    When a replica group tells a follower twice of a stop and of the end of a link
    Then a replica group sends its subscriber away once and dials the link once

  Scenario: A follower proves its freshness through the leader
    Given a replica group of 3
    When a replica group has a relay that probes a follower
    Then a replica group proves the follower fresh
    And a replica group does not prove the follower fresh once it is cut off

  # Guards against a leader that is cut off and still serves reads, by replies to its former leadership.
  Scenario: Replies to requests of a former term prove nothing to a leader that is elected again
    When a replica group starts a replica alone that holds 3 entries of term 2
    Then a replica group commits nothing by a follower's reply to a request of term 2
    And a replica group's leader that hears nothing else steps down within its lease

  # Guards against a leader whose process ends by a reply to a round that it has never begun.
  Scenario: Replies to rounds that were never begun prove nothing and end no leader
    When a replica group starts a replica alone that holds 3 entries of term 2
    And a replica group's followers reply to round 100
    Then a replica group's leader that hears nothing else steps down within its lease

  # Guards against a replica whose process ends at its next election, as a peer has stated the highest term there is.
  Scenario Outline: A message of a term that no election reaches ends no replica
    Given a replica group of 3
    When a replica group's leader receives <message> of the highest term
    Then a replica group accepts a write by the same leader in the same term

    Examples:
      | message             |
      | a refused vote      |
      | a vote request      |
      | a reply             |
      | an append           |
      | a snapshot          |

  # Guards against a leader that commits or counts by an index that its log doesn't have.
  Scenario: Replies that state more than the leader's log holds prove nothing
    When a replica group starts a replica alone that holds 3 entries of term 2
    And a replica group's followers reply that they hold entry 100
    Then a replica group's leader that hears nothing else steps down within its lease

  # Guards against a read that late replies to a former leadership prove, of followers whose build states no term.
  Scenario: Replies of an earlier build to requests of a former term prove no read to a leader that is elected again
    When a replica group starts a replica alone that holds 3 entries of term 2
    And a replica group's leader leads for 3 seconds by a follower's replies, and is elected again
    And a replica group's leader commits an entry of its term, and is asked for a read
    And a replica group's follower of an earlier build replies to all rounds of the former term
    Then a replica group proves no read at its leader
    And a replica group's leader that hears nothing else steps down within its lease

  Scenario: A reply repeats the term and the round of its request
    Then a replica that syncs an append late, and has voted since, replies with the append's term

  # Guards against a group that never begins, as its processes were killed in their first start.
  Scenario: Replicas that are all killed in their first start found a group when they start again
    Given a replica group of 3 whose processes are killed before any has formatted its disk
    When all replicas start again, with settings that no longer name the first start
    Then a replica group elects a leader
