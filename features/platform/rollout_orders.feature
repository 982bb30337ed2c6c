@fleet
Feature: Rollout orders on the platform's processes

  Scenario: An order is acknowledged, survives a restart of the control process, and ends
    Given a control process and a node of the platform beside a back end with 1 slot
    When the platform's configuration is put and the back end reports itself
    And the platform's operator orders a rollout to "v2" in 5 seconds
    Then the control process reports the rollout to "v2" as "running"
    When the control process is killed and restarted
    Then the control process reports the rollout to "v2" as "running"
    And the same order is acknowledged, and one to "v3" is answered 409
    And a request through the node is answered by the back end, with the caller's service told
    And the rollout to "v2" ends as "rolled_back"
    And a request through the node is answered by the back end, with the caller's service told

  Scenario: Invalid orders are refused
    Given a control process and a node of the platform beside a back end with 1 slot
    When the platform's configuration is put and the back end reports itself
    Then these rollout orders are refused
      | order                | status |
      | not an object        | 400    |
      | no service           | 400    |
      | no version           | 400    |
      | zero duration        | 400    |
      | version with a space | 400    |
      | unknown service      | 404    |
