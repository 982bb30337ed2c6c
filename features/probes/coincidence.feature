@fleet
Feature: Faults that come together, under running calls
  What the users' fleets meet: a second machine lost right after a repair, herds, an outage of the
  source, and an operator's resend across a change of leader.

  Background:
    Given a running fleet with calls under way

  Scenario: A second replica's disk is lost right after the first was replaced
    When the leader is struck by "data folder removed"
    And a change is accepted
    And what was struck recovers
    And the leader is struck by "data folder removed"
    And a change is accepted
    Then it is in force on every proxy and agent
    When what was struck recovers
    Then nothing was lost, run twice, answered wrongly or reverted

  Scenario: All proxies and relays die at once and start together, hundreds of changes later
    When every proxy is struck by "kill -9"
    And every relay is struck by "kill -9"
    And 200 changes are accepted
    And what was struck recovers
    Then it is in force on every proxy and agent
    And repeatable calls are still answered
    And nothing was lost, run twice, answered wrongly or reverted

  Scenario: The source is out for some seconds
    When every source is struck by "kill -9"
    Then repeatable calls are still answered
    When calls run for 3 seconds
    Then repeatable calls are still answered
    When what was struck recovers
    And a change is accepted
    Then it is in force on every proxy and agent
    And nothing was lost, run twice, answered wrongly or reverted

  Scenario: The whole fleet's processes die at once
    When every source is struck by "kill -9"
    And every relay is struck by "kill -9"
    And every proxy is struck by "kill -9"
    And every agent is struck by "kill -9"
    And what was struck recovers
    And a change is accepted
    Then it is in force on every proxy and agent
    And nothing was lost, run twice, answered wrongly or reverted

  Scenario: An operator sends a change again after its answer was lost and the leader died
    When the answer to an operator's change is lost on its way from the leader
    Then that change is in force on every proxy and agent
    When the leader is struck by "kill -9"
    And the operator sends the change again
    Then the answer names the version that was in force already
    When what was struck recovers
    Then nothing was lost, run twice, answered wrongly or reverted
