Feature: The agent divides the back end's slots by weight
  A group that floods the back end gets unused capacity, and no more than its share while other
  groups use theirs.

  Scenario: Backlogged groups are served by their weights
    Then backlogged agent groups are served within the bound of their weights

  Scenario: No slot stays free while a call waits
    Then the agent queue never leaves a slot free while a call waits

  Scenario: A flooding group cannot use another's share
    Given an agent queue with 2 slots and weights flood=1, steady=1
    When group flood offers 500 calls at once and group steady keeps 2 calls waiting for 100 rounds
    Then group steady got at least 45 percent of the starts
    And some calls of group flood were refused with share-exhausted

  Scenario: Queued bytes of a flood are evicted for a group below its share
    Given an agent queue of 1000 bytes with 1 slot and weights flood=1, steady=1
    When group flood fills the bytes of the queue and group steady offers a call of 300 bytes
    Then the call of group steady waits and calls of group flood were evicted

  Scenario: New weights apply immediately
    Given an agent queue with 1 slots and weights flood=100, steady=1
    When the weights become flood=1, steady=3 while both groups are backlogged
    Then group steady gets about 3 of 4 starts

  Scenario: Calls that cannot meet their deadline are refused immediately
    Given an agent queue with 1 slots and weights flood=1, steady=1
    When calls take 1 second each and 5 calls wait
    Then a call with 2 seconds left is refused with deadline-too-short and a retry time
    And a call with 20 seconds left is queued

  Scenario: Shares and limits of the configuration reach the agent
    Given an agent of incarnation 7 with 1 slots and a proxy
    When configuration gives group web weight 3 and bodies 1000 bytes
    And groups web and batch keep 10 calls waiting for 40 answers
    Then group web had about 3 of 4 attempts
    When the agent gets a body of 2 parts of 600 bytes on agent stream 900
    Then agent stream 900 has failed with body-too-large

  Scenario: Slots recently used by urgent calls are reserved for them
    Given an agent queue with 4 slots where urgent calls recently held 2 slots and long calls wait
    When no urgent call runs and the waiting long calls are started
    Then 2 long calls run, and an urgent call that arrives now starts immediately

  Scenario: Reservations that urgent calls no longer use expire
    Given an agent queue with 4 slots where urgent calls recently held 2 slots and long calls wait
    When no urgent call runs and the waiting long calls are started
    And the queue's timers are served for 10 seconds
    Then 4 long calls run

  Scenario: The last slot is never reserved
    Given an agent queue with 1 slots where urgent calls recently held 1 slots and long calls wait
    When no urgent call runs and the waiting long calls are started
    Then 1 long calls run
