@fleet
Feature: Rollouts on the platform's processes

  Scenario: An order is acknowledged, survives the control process, and ends by its deadline
    Given a control process and a node of the platform beside a back end with 1 slot
    When the platform's configuration is put and the back end reports itself
    And the platform's operator orders a rollout to "v2" in 5 seconds
    Then the platform's operator is told that the rollout to "v2" is "running"
    When the control process is killed and started again
    Then the platform's operator is told that the rollout to "v2" is "running"
    And the same order is acknowledged, and one to "v3" is answered 409
    And a request through the node is answered by the back end, with the caller's service told
    And within its time the rollout to "v2" is "rolled_back"
    And a request through the node is answered by the back end, with the caller's service told

  Scenario: An order with a flaw is refused
    Given a control process and a node of the platform beside a back end with 1 slot
    When the platform's configuration is put and the back end reports itself
    Then these orders of rollouts are refused
      | flaw                      | status |
      | no object                 | 400    |
      | without a service         | 400    |
      | without a version         | 400    |
      | of no time                | 400    |
      | of a version with a space | 400    |
      | of a service not known    | 404    |
