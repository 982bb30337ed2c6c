@fleet
Feature: Faults of source and relays under running calls
  Whatever happens to the processes that distribute configuration, running calls are not touched
  by it, and an accepted change is in force on every proxy soon after and never reverts.

  Background:
    Given a running fleet with calls under way

  Scenario: A relay is killed
    When relay 1 is killed
    And a change is accepted
    Then it is in force on every proxy
    When relay 1 is started again
    And a change is accepted
    Then it is in force on every proxy
    And no call was lost, run twice or answered wrongly, and no version went back

  Scenario: A relay loses its data folder
    When relay 2 is killed
    And the data folder of relay 2 is removed
    And relay 2 is started again
    And a change is accepted
    Then it is in force on every proxy
    And no call was lost, run twice or answered wrongly, and no version went back

  Scenario: The links of a relay go silent
    When the links of relay 1 to the source go silent
    And a change is accepted
    Then it is in force on every proxy
    When the links of relay 1 to the source are healed
    And a change is accepted
    Then it is in force on every proxy
    And no call was lost, run twice or answered wrongly, and no version went back

  Scenario: The leader of the source is killed
    When the leader is killed
    And a change is accepted
    Then it is in force on every proxy
    When the former leader is started again
    And a change is accepted
    Then it is in force on every proxy
    And no call was lost, run twice or answered wrongly, and no version went back

  Scenario: The leader of the source is suspended and resumed
    When the leader is suspended
    And a change is accepted
    Then it is in force on every proxy
    When the former leader is resumed
    And a change is accepted
    Then it is in force on every proxy
    And no call was lost, run twice or answered wrongly, and no version went back

  Scenario: A replica of the source loses its data folder
    When the leader is killed
    And the data folder of the former leader is removed
    And the former leader is started again
    And a change is accepted
    Then it is in force on every proxy
    And no call was lost, run twice or answered wrongly, and no version went back
