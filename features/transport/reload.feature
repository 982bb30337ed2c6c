Feature: A running process reads its settings again

  Scenario: SIGHUP and a changed file are no reason to end
    Given a running relay
    When that relay gets SIGHUP
    Then it logs 1006 with nothing changed
    When its settings name another zone
    Then it logs 1006 with "zone" changed and waiting for a restart
    And it still runs

  Scenario: What changes while a process starts is not missed, and SIGHUP does not end it
    Given a relay that is about to read its settings for the first time
    When that relay gets SIGHUP
    And it has read its settings and they change before it runs
    Then it logs 1006 with "zone" changed and waiting for a restart
    And it still runs

  Scenario: Settings that do not check out change nothing
    Given a running relay
    When its settings lose their name
    Then it logs 1007 naming "name"
    And it still runs

  Scenario Outline: A <role> tries the publishers that its settings name now
    Given a <role> core whose only publisher does not answer
    When its settings name another publisher besides
    Then it dials that one too

    Examples:
      | role  |
      | proxy |
      | agent |
