Feature: An agent reports its load to its relay when it changes

  Scenario: Changes within 0.1 seconds after a report are combined
    Given a registered agent with 2 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the agent gets a call on agent stream 2 with 10 seconds left
    Then the agent has reported the loads "2"
    When the agent gets a call on agent stream 3 with 10 seconds left
    And the agent gets a call on agent stream 4 with 10 seconds left
    Then the agent has reported the loads "2"
    When 0.1 seconds pass at the agent
    Then the agent has reported the loads "2, 4"

  Scenario: Up to half of the slots in use are reported as no load
    Given a registered agent with 4 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the agent gets a call on agent stream 2 with 10 seconds left
    And 1 seconds pass at the agent
    Then the agent has reported the loads ""
    When the agent gets a call on agent stream 3 with 10 seconds left
    Then the agent has reported the loads "3"

  Scenario: An unchanged load is reported again, and no load is not
    Given a registered agent with 2 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the agent gets a call on agent stream 2 with 10 seconds left
    And 1.1 seconds pass at the agent
    Then the agent has reported the loads "2, 2, 2"
    When the agent's back end answers agent stream 1
    And 3 seconds pass at the agent
    Then the agent has reported the loads "2, 2, 2, 0"

  Scenario: Nothing is reported without a lease
    Given an agent of incarnation 7 with 2 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And 1 seconds pass at the agent
    Then the agent has reported the loads ""

  Scenario: A load that changes by one call is reported with the next repetition
    Guards against a report for each start and end of a call during bursts.
    Given a registered agent with 2 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the agent gets a call on agent stream 2 with 10 seconds left
    Then the agent has reported the loads "2"
    When 0.1 seconds pass at the agent
    And the agent gets a call on agent stream 3 with 10 seconds left
    And 0.2 seconds pass at the agent
    Then the agent has reported the loads "2"
    When 0.2 seconds pass at the agent
    Then the agent has reported the loads "2, 3"
