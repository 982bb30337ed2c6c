Feature: A group elects a leader however slowly its disks sync
  Symptom: replicas elect nobody as long as their disks are slow, and somebody at once when the disks are quick again.

  Sequence: a replica stands, syncs its own vote and then asks the others; they sync the higher term, then their vote,
  and answer. Before the answers are in, the candidate's timer, or that of a replica that hasn't voted, has run out.
  It asks for pre-votes; those whose votes are still being synced grant them; the higher term ends the election that
  would have been won.

  Cause: the timers counted from when a vote was begun to be written, so that three syncs one after the other had to fit
  into the candidate's; a replica granted a pre-vote while it was giving its vote to somebody else; a second pre-vote
  dropped the votes that came late for the first election.

  Figures that settled it (virtual time, ten seeds each, election timeout 0.7 s, five replicas, restart of all): half of
  the groups had a leader after 0.1 s with syncs of 5 ms, 0.6 s with 0.15 s, 2.7 s with 0.4 s and 6 s with 0.5 s, the
  slowest after 22 s; with 1 s and 2 s none had one within 60 s.

  The bound: an attempt is the longest wait for the timer, twice the election timeout, and two syncs. Half of the
  groups have a leader after one attempt, all of them after three. A first start has one sync more, for the disk's
  identity, and a second until the replicas know of each other.

  Scenario Outline: All disks are slow
    When groups of <size> elect under 40 seeds with an election timeout of <timeout> s on disks that sync in <sync> s
    Then half of the groups have a leader after one attempt, and all after three

    Examples:
      | size | timeout | sync |
      | 3    | 0.7     | 0.05 |
      | 3    | 0.7     | 0.15 |
      | 3    | 0.7     | 0.3  |
      | 3    | 0.7     | 0.5  |
      | 3    | 0.7     | 1.0  |
      | 3    | 0.7     | 2.0  |
      | 5    | 0.7     | 0.05 |
      | 5    | 0.7     | 0.15 |
      | 5    | 0.7     | 0.3  |
      | 5    | 0.7     | 0.5  |
      | 5    | 0.7     | 1.0  |
      | 5    | 0.7     | 2.0  |
      | 3    | 1.0     | 0.05 |
      | 3    | 1.0     | 0.15 |
      | 3    | 1.0     | 0.3  |
      | 3    | 1.0     | 0.5  |
      | 3    | 1.0     | 1.0  |
      | 3    | 1.0     | 2.0  |
      | 5    | 1.0     | 0.05 |
      | 5    | 1.0     | 0.15 |
      | 5    | 1.0     | 0.3  |
      | 5    | 1.0     | 0.5  |
      | 5    | 1.0     | 1.0  |
      | 5    | 1.0     | 2.0  |

  Scenario Outline: Some disks are slow
    When groups of <size> elect under 40 seeds with an election timeout of <timeout> s, <slow> disks syncing in <sync> s
    Then half of the groups have a leader after one attempt, and all after three

    Examples:
      | size | timeout | slow | sync |
      | 3    | 0.7     | 1    | 0.5  |
      | 3    | 0.7     | 1    | 2.0  |
      | 3    | 0.7     | 2    | 0.5  |
      | 3    | 0.7     | 2    | 2.0  |
      | 5    | 0.7     | 1    | 0.5  |
      | 5    | 0.7     | 1    | 2.0  |
      | 5    | 0.7     | 2    | 0.5  |
      | 5    | 0.7     | 2    | 2.0  |
      | 3    | 1.0     | 1    | 2.0  |
      | 3    | 1.0     | 2    | 2.0  |
      | 5    | 1.0     | 1    | 2.0  |
      | 5    | 1.0     | 2    | 2.0  |

  Scenario Outline: Each sync takes a time of its own
    When groups of <size> elect under 40 seeds with an election timeout of <timeout> s on disks that sync in up to <sync> s
    Then half of the groups have a leader after one attempt, and all after three

    Examples:
      | size | timeout | sync |
      | 3    | 0.7     | 0.3  |
      | 3    | 0.7     | 1.0  |
      | 3    | 0.7     | 2.0  |
      | 5    | 0.7     | 0.3  |
      | 5    | 0.7     | 1.0  |
      | 5    | 0.7     | 2.0  |
      | 3    | 1.0     | 1.0  |
      | 3    | 1.0     | 2.0  |
      | 5    | 1.0     | 1.0  |
      | 5    | 1.0     | 2.0  |

  Scenario: A candidate asks before its own vote is synced and leads only after
    Given a replica group of 3
    When a follower whose disk hangs is asked to stand for election
    Then the others vote for it and it doesn't lead
    But it leads once its disk syncs

  Scenario: A vote that comes late begins no second leadership in a term
    Given a replica group of 3
    When the leader is cut off until it asks for pre-votes
    And the others' votes for its term reach it once more
    Then it doesn't lead

  Scenario: A late vote wins the election although a pre-vote was begun since
    Given a replica group of 3
    When a follower stands for election while the disks of the others sync in 3 s
    Then that follower leads in the term for which it stood

  # Guards against leaders that step down in turn because replies to heartbeats wait for syncs.
  Scenario Outline: A leader goes on while disks sync more slowly than its lease lasts
    When groups of <size> write every 0.1 s for 20 s, for 5 seeds, with an election timeout of 0.7 s and syncs of <sync> s
    Then no leader has stepped down, and the writes of the first half are accepted

    Examples:
      | size | sync |
      | 3    | 0.15 |
      | 3    | 0.5  |
      | 3    | 2.0  |
      | 5    | 0.15 |
      | 5    | 0.5  |
      | 5    | 2.0  |

  # Guards against a reply that leaves before what it states is synced.
  Scenario: Each reply to an append states what its sender's disk holds
    Then groups of 5 state no more than is synced under 20 seeds of disorder, with syncs of up to 1 s
    And groups of 3 state no more than is synced under 20 seeds of disorder, with syncs of up to 1 s

  # Guards against a voter that follows with a disk that hangs and is never replaced.
  Scenario: A follower whose disk hangs counts as silent once it has something to sync
    Given a replica group of 3
    When the disk of one follower hangs for 3 s while writes go on
    Then its leader has heard nothing of its disk for that long, and lately of the other
    But the leader has led without a break, and leads with the other's disk hanging as well

  # Guards against a heartbeat's reply that states a term, an entry or a snapshot before it is synced.
  Scenario Outline: A heartbeat is answered at once with what is synced, and with the rest later
    Given a replica group of 3
    When a follower whose disk hangs is sent <what>, and then a heartbeat
    Then it replies at once with <stated>
    And once its disk syncs it replies to each with all

    Examples:
      | what          | stated             |
      | an entry      | what it held       |
      | other entries | what it kept       |
      | a snapshot    | no entry           |
      | a higher term | no reply           |

  # Guards against a replica that counts for a majority although its disk takes no snapshot.
  Scenario: A follower with an empty log whose disk hangs within its first snapshot counts as silent
    Given a replica group of 3 of which one founder was down until the others have a snapshot
    When its disk hangs for 20 s as soon as it has the snapshot in memory
    Then its leader has heard nothing of its disk for that long, and lately of the other
    And the leader refuses to remove the other follower, and takes the next write
