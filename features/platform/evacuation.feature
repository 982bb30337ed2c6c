@fleet
Feature: Orders to evacuate a zone on the platform's processes

  Scenario: An order is followed, outlives a new configuration and a restart, and is withdrawn
    Given a control process and a node of the platform beside a back end with 1 slot
    When the platform's configuration is put and the back end reports itself
    Then a request through the node is answered by the back end, with the caller's service told
    When the platform's operator evacuates the zone "one"
    Then requests through the node are refused with 503 and a retry time, and reach no back end
    And the metrics of the node tell of 1 drained zone
    When another configuration is put
    And the control process is killed and restarted
    Then requests through the node are refused with 503 and a retry time, and reach no back end
    And the same evacuation is acknowledged
    When the node is killed and started again, and the back end reports itself
    Then requests through the node are refused with 503 and a retry time, and reach no back end
    When the evacuation of the zone "one" is withdrawn
    Then a request through the node is answered by the back end, with the caller's service told
    And the metrics of the node tell of 0 drained zone
