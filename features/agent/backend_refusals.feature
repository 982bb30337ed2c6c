Feature: Callers whose request the back end refused get a retry time
  Guards against a long retry time although the back end has free slots and a retry would succeed.

  Scenario: With free slots the caller may retry immediately
    Given an agent of incarnation 7 with 2 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the back end refuses agent stream 1 without running it
    Then agent stream 1 is told to retry after at most 50 ms

  Scenario: With calls waiting the caller retries when a slot may be free
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the agent gets a call on agent stream 2 with 10 seconds left
    And the back end refuses agent stream 1 without running it
    Then agent stream 1 is told to retry after at least 100 ms
