Feature: The simulator's host carries out what cores ask for, under virtual time

  Scenario: The same seed gives the same trace, another seed another one
    When two counting cores run for 20 seconds under seed 7 twice
    Then both traces have the same digest
    And seed 8 gives another digest

  Scenario: Messages of a link arrive in the order in which they were sent
    When two counting cores run for 20 seconds under seed 3
    Then every message arrived in the order sent

  Scenario: A one-way cut holds messages back and lets them through in order
    Given two counting cores under seed 5
    When the link from "client" to "server" is cut from second 2 to second 6
    And the cores run for 10 seconds
    Then the server received nothing between second 2.1 and second 6
    And every message arrived in the order sent
    And the client lost no message

  Scenario: A dial into a cut fails after the dial timeout
    Given two counting cores under seed 5
    When the link from "server" to "client" is cut from second 0 to second 9
    And the cores run for 8 seconds
    Then the client saw a dial fail

  Scenario: What was synced survives a death, and what was not may be torn
    Given two counting cores under seed 11
    When the server is killed every 0.1 seconds until second 10
    And the cores run for 12 seconds
    Then every record that was reported as synced is on the disk
    And the records on the disk are in the order written

  Scenario: A frozen core handles what queued up once it goes on
    Given two counting cores under seed 13
    When the server is frozen from second 2 to second 5
    And the cores run for 10 seconds
    Then the server received nothing between second 2 and second 5
    And every message arrived in the order sent
    And the client lost no message

  Scenario: A lost disk comes back empty
    Given two counting cores under seed 17
    When the server loses its disk at second 3
    And the cores run for 6 seconds
    Then the server started its second life with an empty disk
