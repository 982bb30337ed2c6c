Feature: Callers whose request a back end turned away are told when it may be tried again
  A whole service refused half of what it was sent for eight seconds, though its slots were free. Callers were told to
  come back after a second and were all late, while the next try would mostly have been answered in time.

  Scenario: With slots free the caller may come back at once
    Given an agent of incarnation 7 with 2 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the back end turns agent stream 1 away
    Then agent stream 1 is told to come back after at most 50 ms

  Scenario: With others waiting it is told when there may be room
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the agent gets a call on agent stream 2 with 10 seconds left
    And the back end turns agent stream 1 away
    Then agent stream 1 is told to come back after at least 100 ms
