Feature: A node follows the instance beside it by the instance's own reports

  Scenario: Reports in any order start an instance once and let it leave once
    Given any order of reports, an instance starts once and never comes back once it left

  Scenario: A late report of an instance that is gone revives nothing
    Given an instance "one" that another, "two", has taken the place of
    When a late report of "one" comes
    Then nothing follows from it

  Scenario: A draining report is heeded however late it is
    Given an instance "one" whose report 9 has come
    When its report 3 says that it leaves
    Then the instance leaves

  Scenario: An instance that ends without a word before leaves at once
    Given an instance "one" whose report 9 has come
    When it says that it ends
    Then the instance leaves
    When a late report of "one" comes
    Then nothing follows from it

  Scenario: An agent whose back end is gone answers what runs and takes nothing more
    Given an agent with calls running and waiting
    When the agent's back end is gone
    Then those that ran have an unknown outcome, those that waited were not run
    And the agent has nothing more to do

  Scenario: An agent takes the configuration and the relays from the proxy of its process
    Given an agent without a subscription of its own, registered at "10.0.0.1"
    When its process shares a configuration with a largest body of 100 bytes
    Then a call with a body of 101 bytes is refused there, and one of 100 is not
    When its process shares relays of which "10.0.0.2" is preferred
    Then the agent registers at "10.0.0.2"
    And it has never subscribed

  Scenario: An instance that crashed and started again under its identifier is another run
    An instance with report 40 crashed; its next run began its reports at 1 with a later start, and
    all of them were passed over as old until report 41, a minute later.
    Given an instance "one", born at 1000, whose report 40 has come
    When "one", born at 2000, says report 1
    Then a run starts
    When "one", born at 1000, says report 41
    Then nothing follows from it
    When "one", born at 1000, says late that it leaves
    Then nothing follows from it
    When "one", born at 1000, says late that it ends
    Then nothing follows from it
    And "one", born at 2000, is staying

  Scenario: An instance that ended and started again under its identifier is used again
    An identifier was never taken again after its end, so that the second run stayed idle for good.
    Given an instance "one", born at 1000, whose report 9 has come
    When "one", born at 1000, says late that it ends
    Then the instance leaves
    When "one", born at 1000, says report 10
    Then nothing follows from it
    When "one", born at 2000, says report 1
    Then a run starts

  Scenario: A run that says at once that it leaves ends the run before it
    The agent of the former run stayed registered, so that calls went on to the second run, which
    was leaving.
    Given an instance "one", born at 1000, whose report 9 has come
    When "one", born at 2000, says late that it leaves
    Then the run before is over and none takes its place

  Scenario: A report that doesn't say when its run was born belongs to the run that is followed
    Given an instance "one", born at 1000, whose report 9 has come
    When "one" says report 10 without a birth
    Then nothing follows from it
    And "one", born at 1000, is staying
    When "one" says without a birth that it ends
    Then the instance leaves

  Scenario: An instance that was found by asking is the run that reports itself
    Given an instance "one" that was found by asking
    When "one", born at 1000, says report 5
    Then nothing follows from it
    And "one", born at 1000, is staying

  Scenario: A late report of an instance that was here earlier takes nobody's place
    A node that was restarted had forgotten which instances had ended. One late heartbeat of the
    former instance took the place of the present one, whose own reports were then passed over.
    Given an instance "two", born at 2000, whose report 3 has come
    When "one", born at 1000, says report 9
    Then nothing follows from it
    When "two", born at 2000, says report 4
    Then nothing follows from it
    And "two", born at 2000, is staying

  Scenario: An instance born at an earlier time takes a silent one's place after some reports
    The time of day had been set back between the starts of two instances.
    Given an instance "one", born at 2000, whose report 9 has come
    When "two", born at 1000, says reports 1, 2
    Then nothing follows from it
    When "two", born at 1000, says report 3
    Then a run starts

  Scenario: Of any reports of runs of one identifier, in any order, the run born last is followed
    Given any order of reports of runs, no run starts after a later one or after its end
