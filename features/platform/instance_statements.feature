@fleet
Feature: Nodes heed what instances state in their answers, also beside a node that is killed

  # Guards against limits that no node knows: instances got twice what they took from all nodes.
  Scenario: All instances of a service state a limit, and one node is killed again and again
    Given a control process and four nodes of the platform with an instance each
    When all instances state a limit of 6 a second, under 16 callers
    And for 12 seconds a node is killed every 3 seconds and started again
    Then no instance got more than its limit allows from the nodes that had passed it on
    And the instances together got at least 80 of 100 of what they take
    And what no instance can take was refused within 0.3 seconds, with a time to come back

  # Guards against instances that go on getting requests after they have stated that they leave.
  Scenario: One instance states that it leaves and reports that it is ready
    Given a control process and four nodes of the platform with an instance each
    When one instance states that it leaves, under 8 callers
    And for 9 seconds a node is killed every 3 seconds and started again
    Then the instance that leaves got no request sent over 2 seconds after a node had passed that on
    And the others serve at least 95 of 100 requests of the nodes that were not killed
