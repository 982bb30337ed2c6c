Feature: A node tracks the instance beside it by the instance's reports

  Scenario: Reports in any order start an instance at most once and never after it drained
    Given any order of reports, an instance starts at most once and is not active after it drained

  Scenario: A late report of a replaced instance has no effect
    Given an instance "one" that "two" has replaced
    When a late report of "one" arrives
    Then it has no effect on the agent

  Scenario: A draining report takes effect even if it is late
    Given an instance "one" whose report 9 has arrived
    When its report 3 says that it is draining
    Then the instance's agent is to drain

  Scenario: The agent of an instance that ends without draining first drains at once
    Given an instance "one" whose report 9 has arrived
    When it reports its end
    Then the instance's agent is to drain
    When a late report of "one" arrives
    Then it has no effect on the agent

  Scenario: An agent whose back end has ended fails all its calls and finishes
    Given an agent with one running and one queued call
    When the agent's back end has ended
    Then the running call has an unknown outcome and the queued one was not run
    And the agent has finished draining

  Scenario: An agent uses the configuration and the relays of the proxy in its process
    Given an agent without a subscription of its own, registered at "10.0.0.1"
    When its process shares a configuration with a maximum body size of 100 bytes
    Then a call with a body of 101 bytes is refused, and one of 100 is not
    When its process shares relays of which "10.0.0.2" is preferred
    Then the agent registers at "10.0.0.2"
    And it has never subscribed

  Scenario: An instance that crashed and restarted under its identifier is a new run
    Guards against dropping the reports of the new run because their sequence starts again at 1.
    Given an instance "one", started at 1000, whose report 40 has arrived
    When "one", started at 2000, sends report 1
    Then a new run starts
    When "one", started at 1000, sends report 41
    Then it has no effect on the agent
    When "one", started at 1000, reports that it is draining
    Then it has no effect on the agent
    When "one", started at 1000, reports its end
    Then it has no effect on the agent
    And "one", started at 2000, is active

  Scenario: An instance that ended and restarted under its identifier is used again
    Guards against ignoring the identifier for good, which leaves the new run idle.
    Given an instance "one", started at 1000, whose report 9 has arrived
    When "one", started at 1000, reports its end
    Then the instance's agent is to drain
    When "one", started at 1000, sends report 10
    Then it has no effect on the agent
    When "one", started at 2000, sends report 1
    Then a new run starts

  Scenario: A run whose first report says that it is draining ends the previous run
    Guards against leaving the previous run's agent registered, which sends calls to a draining run.
    Given an instance "one", started at 1000, whose report 9 has arrived
    When "one", started at 2000, reports that it is draining
    Then the previous run has ended and no run is active

  Scenario: A report without a start time belongs to the tracked run
    Given an instance "one", started at 1000, whose report 9 has arrived
    When "one" sends report 10 without a start time
    Then it has no effect on the agent
    And "one", started at 1000, is active
    When "one" reports its end without a start time
    Then the instance's agent is to drain

  Scenario: An instance found by a probe is the run that reports itself
    Given an instance "one" that was found by a probe
    When "one", started at 1000, sends report 5
    Then it has no effect on the agent
    And "one", started at 1000, is active

  Scenario: A late report of a former instance does not replace the current one
    Guards a restarted node, which doesn't know the ended instances, against tracking one of them.
    Given an instance "two", started at 2000, whose report 3 has arrived
    When "one", started at 1000, sends report 9
    Then it has no effect on the agent
    When "two", started at 2000, sends report 4
    Then it has no effect on the agent
    And "two", started at 2000, is active

  Scenario: An instance with an earlier start time replaces a silent one after several reports
    Covers a clock that was set back between the starts of two instances.
    Given an instance "one", started at 2000, whose report 9 has arrived
    When "two", started at 1000, sends reports 1, 2
    Then it has no effect on the agent
    When "two", started at 1000, sends report 3
    Then a new run starts

  Scenario: For reports of one identifier's runs in any order, the run that started last is tracked
    Given any order of reports of runs, only the newest starts, and is active until it drains or ends

  Scenario: A late report without a start time does not replace the current instance
    Guards a restarted node, which doesn't know the ended instances, against tracking one of them.
    Given an instance "two" whose report 3 has arrived
    When "one" sends report 9 without a start time
    Then it has no effect on the agent
    When "two" sends report 4 without a start time
    And "one" sends report 10 without a start time
    And "one" sends report 11 without a start time
    Then it has no effect on the agent
    And "two" is active

  Scenario: Of two identifiers without start times, the one that goes on reporting is used
    Given an instance "one" whose report 9 has arrived
    When "two" sends report 1 without a start time
    And "two" sends report 2 without a start time
    Then it has no effect on the agent
    When "two" sends report 3 without a start time
    Then a new run starts

  Scenario Outline: Where a probe can identify the instance, reports that may be late wait for it
    Guards against a burst of late reports, which a network releases together.
    Given an instance "two", started at <current>, whose report 3 has arrived
    And probes can identify the instance
    When "one", started at <late>, sends reports 5, 6, 7, 8
    Then a probe is needed
    And "two", started at <current>, is active
    When the probe finds "two"
    Then it has no effect on the agent
    When the probe finds "one"
    Then a new run starts
    When "two", started at <current>, sends report 4
    Then it has no effect on the agent

    Examples:
      | current | late |
      | 0       | 0    |
      | 0       | 1000 |
      | 2000    | 0    |
      | 2000    | 1000 |

  Scenario: Where probes find no instance, reports in a row decide
    Guards against an instance that is never used, as its service has no health path or another one.
    Given an instance "two" whose report 3 has arrived
    And probes can identify the instance
    When probes for 3 reports of "one" find no instance
    Then a new run starts

  Scenario: An instance that is known to have started later needs no probe
    Given an instance "one", started at 1000, whose report 9 has arrived
    And probes can identify the instance
    When "two", started at 2000, sends report 1
    Then a new run starts

  Scenario: A late report of another service does not replace the current instance
    Given an instance "two" whose report 3 has arrived
    And probes can identify the instance
    When "one" of service "stock" sends report 9 without a start time
    Then a probe is needed
    And "two" is active

  Scenario: With late reports of dead instances in any order, the one that probes find is used
    Then for any order of reports, the instance that probes find is tracked once it has reported

  Scenario Outline: Only an instance that has run for a while may have calls of a former agent
    Guards against a new instance that gets one call at a time until it has answered.
    Then a first report with <left> of warm-up left means that former calls are <possible>

    Examples:
      | left      | possible   |
      | 2.3 s     | impossible |
      | 0 s       | possible   |
      | no mention | possible   |

  # Guards against an instance that is used though its leave was acknowledged, as a probe had still to identify it.
  Scenario Outline: The leave of an instance that a probe is still to identify holds
    Given an instance "two" whose report 3 has arrived
    And probes can identify the instance
    When "one" sends report 9 without a start time
    Then a probe is needed
    When "one" <leaves> without a start time
    Then it has no effect on the agent
    When the probe finds "one"
    Then the previous run has ended and no run is active
    When "one" sends report 10 without a start time
    Then it has no effect on the agent
    And no run is active

    Examples:
      | leaves                   |
      | reports that it drains   |
      | reports its end          |
