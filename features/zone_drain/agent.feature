Feature: An agent of a drained zone takes no further call

  Scenario: New calls are refused as not run, in words that any proxy knows
    Given an agent of the zone "lodz-a" with 2 slots
    When the agent learns that "lodz-a" is drained
    And the zoned agent gets a call on agent stream 1
    Then agent stream 1 was refused by the drain with a retry time
    And the refusal names no kind that an older proxy doesn't know
    And the load that comes with it is that of a full instance that doesn't stop
    And the metric of events counts 1 refusal by the drain

  Scenario: Queued calls are refused at the drain, and running ones finish
    Given an agent of the zone "lodz-a" with 1 slots
    When the zoned agent gets a call on agent stream 1
    And the zoned agent gets a call on agent stream 2
    And the agent learns that "lodz-a" is drained
    Then agent stream 2 was refused by the drain with a retry time
    When the back end answers agent stream 1 of the zoned agent
    Then agent stream 1 of the zoned agent was answered
    And the back end got 1 call of the zoned agent

  Scenario: A call whose body is on its way by credit counts as queued
    Given an agent of the zone "lodz-a" with 1 slots
    When the zoned agent gets the head of a call on agent stream 1
    Then the zoned agent gave credit
    When the agent learns that "lodz-a" is drained
    Then agent stream 1 was refused by the drain with a retry time
    When the body follows on agent stream 1 of the zoned agent
    Then the back end got 0 call of the zoned agent

  Scenario: The drain of another zone changes nothing
    Given an agent of the zone "lodz-a" with 1 slots
    When the agent learns that "lodz-b" is drained
    And the zoned agent gets a call on agent stream 1
    Then the back end got 1 call of the zoned agent

  Scenario: After the withdrawal calls are taken again, and the call service is told once
    Given an agent of the zone "lodz-a" with 1 slots
    When the agent learns that "lodz-a" is drained
    And the agent learns that no zone is drained
    And the agent learns that no zone is drained
    And the zoned agent gets a call on agent stream 1
    Then the back end got 1 call of the zoned agent
    And the zoned agent logged once that the drain began and ended
