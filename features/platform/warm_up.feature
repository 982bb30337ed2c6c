@fleet
Feature: A node sends a warming instance no more than its platform allows in any second

  # Guards against parts that are right by themselves and not joined: the configuration's rate, the
  # bounds, the reports, and an agent that starts anew beside the same instance.
  Scenario: An instance is flooded while it warms up, beside a node that is killed
    Given a control process and a node of the platform beside a back end with 1 slot
    When the platform's configuration of a service that bears 3.2 calls a second while it warms up is put
    And the back end reports 60000 ms of warm-up, and is flooded for 2.5 seconds
    Then no second has more than 12 requests at the back end, and it had at least 4
    When the node is killed and started again, and the back end reports nothing
    And the back end is flooded for 2.5 seconds
    Then no second has more than 12 requests at the back end, and it had at least 4
    When the back end reports that it is warm, and is flooded until a second has more than 12 requests
    Then the node's log tells of the warm-up that was known, not known and over
