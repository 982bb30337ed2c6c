Feature: Relays keep the runs of instances that have left, beyond the life of the processes that learned it

  # Guards against an acknowledgement of a leave that is lost with the processes that knew of it.
  Scenario: A leave is confirmed once the disk has it
    Given a relay whose disk holds no departed runs
    When node 1 reports that run "i-1" has left
    Then the relay writes "i-1" to its disk, and confirms nothing
    When the write is done
    Then the relay confirms "i-1" to node 1

  Scenario: Leaves that come during a write are confirmed by the next one
    Given a relay whose disk holds no departed runs
    When node 1 reports that run "i-1" has left
    And node 3 reports that run "i-2" has left
    And the write is done
    Then the relay confirms "i-1" to node 1
    And the relay writes "i-1, i-2" to its disk, and confirms nothing
    When the write is done
    Then the relay confirms "i-2" to node 3

  Scenario: A leave that is known is confirmed again
    Guards against a node that waits in vain, as another process reported the leave first.
    Given a relay whose disk holds no departed runs
    When node 1 reports that run "i-1" has left
    And the write is done
    And node 3 reports that run "i-1" has left
    And the write is done
    Then the relay confirms "i-1" to node 3

  # Guards against leaves that nobody acknowledges as the disk of the node's relay is slow or full.
  Scenario: A leave is confirmed once the disk of another relay has it
    Given a relay whose disk holds no departed runs
    And another relay of feature level 3 connects
    When node 1 reports that run "i-1" has left
    Then the relay confirms nothing to node 1
    When the other relay confirms that it has stored "i-1"
    Then the relay confirms "i-1" to node 1
    When the write is done
    Then the relay confirms "i-1" to node 1

  Scenario: A leave that another relay has stored is confirmed at once
    Given a relay whose disk holds no departed runs
    And another relay of feature level 3 connects
    And the other relay confirms that it has stored "i-1"
    When node 1 reports that run "i-1" has left
    Then the relay confirms "i-1" to node 1

  # Guards against an acknowledgement by the disk of a relay that may have been replaced.
  Scenario: What another relay has stored counts for as long as its link
    Given a relay whose disk holds no departed runs
    And another relay of feature level 3 connects
    And the other relay confirms that it has stored "i-1"
    And the link to the other relay is lost
    When node 1 reports that run "i-1" has left
    Then the relay confirms nothing to node 1
    When the write is done
    Then the relay confirms "i-1" to node 1

  # Guards against two relays that confirm a leave by each other, while no disk has it.
  Scenario: A forwarded leave is confirmed to its relay by the own disk only
    Given a relay whose disk holds no departed runs
    And another relay of feature level 3 connects
    When another relay reports that run "i-1", started at 0, has left
    And the other relay confirms that it has stored "i-1"
    Then the relay confirms nothing to the relay that has reported it
    When the write is done
    Then the relay confirms "i-1" to the relay that has reported it

  Scenario: A relay that is to keep leaves in memory confirms them to nodes, and to no relay
    Given a relay that has no disk
    When another relay reports that run "i-1", started at 0, has left
    And node 1 reports that run "i-1" has left
    And the write is done
    And the write is done
    Then the relay confirms "i-1" to node 1
    And the relay confirms nothing to the relay that has reported it

  # Guards against leaves that a relay confirms although its disk has refused them.
  Scenario Outline: A relay whose folder of departed runs <state> reports <reported>
    When departed runs are written to a folder that <state>
    Then the writes reported as done are <reported>

    Examples:
      | state                           | reported |
      | can be used                     | 1, 2     |
      | can't be opened                 | none     |
      | is full at first                | 1, 2     |
      | fails at the second write       | 1        |

  # Guards against a first write that replaces the runs which the disk still holds.
  Scenario: Nothing is written before the disk has been read
    Given a relay whose disk has not been read
    When node 1 reports that run "i-1" has left
    Then the relay writes nothing
    When the disk is read, and holds "i-0"
    Then the relay writes "i-1, i-0" to its disk, and confirms nothing

  # Guards against a new agent of a run that has left: it was used after a restart of its node.
  Scenario Outline: Agents of a run that has left are drained, whichever relay or life learned it
    Given a relay whose disk holds no departed runs
    And an agent beside run "i-1", started at 1000, on link 11
    And <learned>
    Then the agent on link 11 is notified that its run has departed
    And the endpoint of link 11 is draining
    When an agent beside run "i-1", started at 1000, registers on link 13
    Then the agent on link 13 is notified that its run has departed
    And the endpoint of link 13 is draining
    When an agent beside run "i-1", started at 2000, registers on link 15
    Then the endpoint of link 15 is ready

    Examples:
      | learned                                                                |
      | node 1 reports that run "i-1", started at 1000, has left               |
      | another relay reports that run "i-1", started at 1000, has left        |
      | the disk is read, and holds "i-1", started at 1000                     |
      | the agent on link 11 registers again and states that its run is leaving |

  Scenario Outline: Departed runs are sent to relays whose build reads them
    Given a relay whose disk holds no departed runs
    When node 1 reports that run "i-1" has left
    And another relay of feature level <level> connects
    Then it has received <first>
    When node 1 reports that run "i-2" has left
    Then it has received <then>

    Examples:
      | level | first   | then     |
      | 3     | i-1     | i-1, i-2 |
      | 2     | nothing | nothing  |

  Scenario: A departed run is forgotten when no late report of it can come
    Given a relay whose disk holds no departed runs
    When node 1 reports that run "i-1" has left
    And 601 seconds pass for the departed runs
    And an agent beside run "i-1", started at 0, registers on link 13
    Then the endpoint of link 13 is ready
