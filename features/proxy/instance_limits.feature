Feature: Calls go to instances whose limit has room, and to none that is leaving

  # Guards against a limited instance that gets calls which others could have run.
  Scenario: One of eight instances states a limit
    Given 8 instances, of which 1 states a limit of 12.5 a second
    When 8 proxies send 230 calls a second for 10 seconds
    Then at least 995 of 1000 calls are answered
    And the limited instances were sent 80 to 105 of 100 calls that they take
    And at most 30 of 1000 calls were sent to a second agent

  # Guards against limits that are left unused, and calls that wander between full instances.
  Scenario: All instances state a limit, and callers want more than twice as much
    Given 8 instances, of which 8 states a limit of 12.5 a second
    When 8 proxies send 230 calls a second for 10 seconds
    Then the limited instances were sent 97 to 105 of 100 calls that they take
    And a call was sent to 2 agents at most on average

  # Guards against a refusal that counts as a failure of the instance, or costs the retry budget.
  Scenario: A refusal by an instance's limit
    Given a proxy with 4 endpoints
    And a budget of no retries
    When a call is refused by the limit of its instance
    Then it is sent to another agent
    And no endpoint counts as failed
    When all agents refuse a call by the limit of 2 calls a second of their instances
    Then it is refused as "instance-limited" with the agents' time, not run
    And the next call is sent to one agent only

  # Guards against what a restarted agent, or a proxy in touch with no relay, would forget.
  Scenario: The agent beside a limited instance restarts
    Given a proxy with 1 endpoint of the run "i-1"
    When an answer states a limit of 3 a second
    Then the next call states the limit of 3
    When another agent registers beside the run "i-1"
    Then the next call states the limit of 3
    When another agent registers beside the run "i-2"
    Then the next call states the limit of 0

  # Guards against a relay's older report, and against one that is never heard.
  Scenario: A relay reports a limit and a leave
    Given a proxy with 1 endpoint of the run "i-1"
    When a relay reports a limit of 4 a second for it
    Then the next call states the limit of 4
    When an answer states a limit of 6 a second
    And a relay reports a limit of 4 a second for it
    Then the next call states the limit of 6
    When a relay reports that the instance is leaving
    Then the next call finds no endpoint

  # Guards against an instance that is used again after it has stated that it is leaving.
  Scenario: The agent beside a leaving instance restarts
    Given a proxy with 1 endpoint of the run "i-1"
    When an answer states that the instance is leaving
    Then the next call finds no endpoint
    When another agent registers beside the run "i-1"
    Then the next call finds no endpoint
    When another agent registers beside the run "i-2"
    Then the next call is sent to it

  # Guards against a run that is taken for a former one of the same identifier.
  Scenario: An instance starts again under its identifier
    Given a proxy with 1 endpoint of the run "i-1" started at 1000
    When an answer states that the instance is leaving
    And another agent registers beside the run "i-1" started at 1000
    Then the next call finds no endpoint
    When another agent registers beside the run "i-1" started at 2000
    Then the next call is sent to it
