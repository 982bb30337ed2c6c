@fleet
Feature: Faults of proxies, agents and back ends under running calls
  Callers resend what is cut, those that may not be repeated under their idempotency key. None is
  lost and none is run twice.

  Background:
    Given a running fleet with calls under way

  Scenario: A proxy is killed
    When proxy 1 is killed
    And calls run for 1 seconds
    And proxy 1 is started again
    And a change is accepted
    Then it is in force on every proxy
    And no call was lost, run twice or answered wrongly, and no version went back

  Scenario: A proxy loses its data folder
    When proxy 2 is killed
    And the data folder of proxy 2 is removed
    And proxy 2 is started again
    And a change is accepted
    Then it is in force on every proxy
    And no call was lost, run twice or answered wrongly, and no version went back

  Scenario: A proxy is suspended and resumed
    When proxy 1 is suspended
    And a change is accepted
    And calls run for 2 seconds
    And proxy 1 is resumed
    Then it is in force on every proxy
    And no call was lost, run twice or answered wrongly, and no version went back

  Scenario: An agent is killed
    When agent 1 is killed
    And calls run for 1 seconds
    And agent 1 is started again
    And calls run for 1 seconds
    Then no call was lost, run twice or answered wrongly, and no version went back

  Scenario: An agent is suspended and resumed
    When agent 2 is suspended
    And calls run for 2 seconds
    And agent 2 is resumed
    And calls run for 1 seconds
    Then no call was lost, run twice or answered wrongly, and no version went back

  Scenario: A back end is killed
    When back end 1 is killed
    And calls run for 1 seconds
    And back end 1 is started again
    And calls run for 1 seconds
    Then no call was lost, run twice or answered wrongly, and no version went back

  Scenario: Proxy, agent and relay make a planned stop
    When proxy 1 makes a planned stop
    And agent 1 makes a planned stop
    And relay 1 makes a planned stop
    Then no attempt was cut
    When proxy 1 is started again
    And agent 1 is started again
    And relay 1 is started again
    And a change is accepted
    Then it is in force on every proxy
    And no call was lost, run twice or answered wrongly, and no version went back
