Feature: A warming back end is sent no more calls than it can handle in any second
  The service's limit is 3.2 calls a second. 12 calls in any second are allowed, and a known warm-up
  lets 8 of them through. Calls in a second are counted over the times at which they are started.

  # Guards against a probabilistic limit: 14 calls in one second were sent where 12 are allowed.
  Scenario: A zone returns under 1.7 times the usual load
    Given an agent whose back end reports that it warms up for 3 seconds
    When it is offered 13 calls a second for 6 seconds and reports the time left
    Then no second has more than 8 starts while the back end is warming up
    And the back end was sent at least 4 calls a second while it was warming up
    And from a second after the warm-up on every call is served

  # Guards against cold instances that are sent calls although warm ones have free slots.
  Scenario: A zone of 8 instances returns beside 17 warm ones that can serve the load
    Given a fleet of 17 warm instances and 8 that warm up for 3 seconds
    When the fleet is offered 230 calls a second for 3 seconds
    Then at most 2 of 100 calls are started at warming instances of the fleet
    And the fleet answers at least 99 of 100 calls

  # Guards against cold instances that are overrun by what the warm ones can't serve.
  Scenario: A zone of 8 instances returns beside 17 warm ones under 1.7 times the usual load
    Given a fleet of 17 warm instances and 8 that warm up for 3 seconds
    When the fleet is offered 290 calls a second for 3 seconds
    Then no second has more than 8 starts at a warming instance of the fleet
    And the fleet answers at least 95 of 100 calls
    When the fleet is offered 290 calls a second for 3 seconds
    Then the fleet answers at least 99 of 100 calls

  # Guards against a service that is left unused, or overrun, after a loss of power.
  Scenario: All instances of a service are cold under the usual load
    Given a fleet of 0 warm instances and 25 that warm up for 30 seconds
    When the fleet is offered 194 calls a second for 5 seconds
    Then no second has more than 8 starts at a warming instance of the fleet
    And the warming instances of the fleet have started at least 4 calls a second each

  # Guards against callers that were refused together and return together.
  Scenario: All instances are cold and 60 callers arrive at once
    Given an agent whose back end reports that it warms up for 30 seconds
    When 60 calls arrive at once
    Then those that cannot be started in time are refused at once
    And no tenth of the refused callers is told to return within the same tenth of a second
    And the first of them returns when the bucket has a call for it
    And the calls that were refused and those that were started later are counted

  # Guards against a bucket that knows nothing of the calls sent before the state changed.
  Scenario: An instance turns cold at full rate
    Given an agent whose back end reports that it is warm
    When it is offered 30 calls a second for 4 seconds and turns cold after 2.2 seconds
    Then no second that ends after the report has more than 12 starts

  # Guards against a late report that lifts the limit.
  Scenario: A late report of a warm back end arrives after a newer one
    Given an agent whose back end reports that it warms up for 3 seconds
    When an older report says that it is warm
    And it is offered 30 calls a second for 2 seconds
    Then no second has more than 8 starts

  # Guards against a report that was sent before the health response it contradicts.
  Scenario: A report contradicts a health response that came before it
    Given an agent whose back end reports that it is warm
    When a health response says that it warms up for 3 seconds
    And its next report says that it is warm
    And it is offered 30 calls a second for 2 seconds
    Then no second has more than 8 starts

  # Guards against three late reports that are taken for a new numbering.
  Scenario: Several late reports arrive at once
    Given an agent whose back end reports that it warms up for 3 seconds
    When reports 1 to 4 arrive late and say that it is warm
    And it is offered 30 calls a second for 2 seconds
    Then no second has more than 8 starts

  # Guards against a back end that is limited for good since its reports are numbered anew.
  Scenario: The back end numbers its reports anew
    Given an agent whose back end reports that it is warm
    When its warm-up is declared to be unknown
    And reports 1 to 4 arrive every 1.5 seconds and say that it is warm
    And it is offered 30 calls a second for 1 seconds
    And reports 5 to 5 arrive every 0.1 seconds and say that it is warm
    And it is offered 30 calls a second for 1 seconds
    Then the back end was sent at least 28 calls in the last second

  # Guards against a process that has replaced a warm one between two reports.
  Scenario Outline: The back end's process may have been replaced
    Given an agent whose back end reports that it is warm
    When it is offered 30 calls a second for 1 seconds
    And <event>
    And it is offered 30 calls a second for 1 seconds
    Then no second that ends after that has more than 12 starts

    Examples:
      | event                                                     |
      | the back end closes the connection of a call and refuses a new one |
      | the back end is not reached by a call                          |
      | a connection check of the back end is refused             |

  # Guards against limits for a warm back end that only resets some of its connections.
  Scenario: A warm back end that resets a connection and accepts a new one keeps its calls
    Given an agent whose back end reports that it is warm
    When it is offered 30 calls a second for 1 seconds
    And the back end closes the connection of a call and accepts a new one
    And it is offered 30 calls a second for 1 seconds
    Then the back end was sent at least 28 calls in the last second

  # Guards against an agent without memory that sends a full burst after its predecessor's.
  Scenario Outline: An agent is killed and started again
    Given an agent whose back end reports that it warms up for 30 seconds
    When it is offered 30 calls a second for <seconds> seconds
    And the agent is killed and started again, and is offered 30 calls a second for 3 seconds
    Then no second of both agents has more than 8 starts

    Examples:
      | seconds |
      | 0.2     |
      | 1       |
      | 2.7     |

  # Guards against taking a back end for warm that has not reported yet.
  Scenario: An agent has just started and there is no report
    Given an agent whose back end has not reported
    When it is offered 30 calls a second for 3 seconds
    Then no second has more than 8 starts

  # Guards against the state that a drained zone or a suspended machine had before.
  Scenario Outline: The state is no longer known
    Given an agent whose back end reports that it is warm
    When <event>
    And a report that was sent before arrives, which says that it is warm
    And it is offered 30 calls a second for 1 seconds
    Then no second that ends after that has more than 8 starts
    When its next report says that it is warm
    And it is offered 30 calls a second for 1 seconds
    Then the back end was sent at least 28 calls in the last second

    Examples:
      | event                                  |
      | its warm-up is declared to be unknown  |
      | the process is suspended for 5 seconds |

  # Guards against an instance that turned cold while its reports were missing.
  Scenario: Reports stop while the back end is at full rate
    Given an agent whose back end reports that it is warm
    When it is offered 30 calls a second for 1 seconds
    And its next report says that it is warm
    And it is offered 30 calls a second for 7 seconds
    Then no second that ends 3.5 seconds later or after has more than 12 starts
    And the back end was sent at least 11 calls in the last second

  # Guards against an instance that turned cold while it had no calls.
  Scenario: Calls return after a pause between two reports
    Given an agent whose back end reports that it is warm
    When it is offered 30 calls a second for 0.1 seconds
    And it has no calls for 1.1 seconds
    And it is offered 40 calls a second for 1 seconds
    Then no second has more than 12 starts
    When its next report says that it is warm
    And it is offered 30 calls a second for 1 seconds
    Then the back end was sent at least 28 calls in the last second

  # Guards against a burst that reaches the back end together with later calls.
  Scenario: Calls take up to a second to reach the back end
    Given an agent whose back end reports that it warms up for 30 seconds
    When it has no calls for 3 seconds
    And it is offered 30 calls a second for 3 seconds
    Then no 2 seconds have more than 12 starts

  # Guards against calls that are sent before the configuration has named the limit.
  Scenario: Calls arrive before the configuration
    Given an agent without a configuration that waits for one
    When 3 calls arrive at once
    Then the back end was sent 0 calls
    When the configuration has no limit for the service
    Then the back end was sent 3 calls

  # Guards against a limit where the configuration has none.
  Scenario: A service has no limit
    Given an agent whose service has no limit
    When it is offered 60 calls a second for 3 seconds
    Then every call was started when it arrived

  # Guards against waiting for calls that the bucket cannot start in time.
  Scenario: A call that cannot be started in time is refused with a time that holds
    Given an agent whose back end reports that it warms up for 30 seconds
    When it is offered 30 calls a second for 1 seconds
    And one more call has 0.1 seconds left
    Then the last call was refused with deadline-too-short
    When it is offered again at the time it was told
    Then it is started

  # Guards against proxies that hear of a warm-up late, and relays that hear of it at each report.
  Scenario: Proxies are told of the warm-up in each answer, and relays when it begins and ends
    Given a registered agent whose back end reports that it is warm
    When it is offered 2 calls a second for 1 seconds
    Then its answers state 0 to 0 milliseconds, and its last registration 0 to 0
    When its next report says that it warms up for 3 seconds
    And another report says that it warms up for 2.5 seconds
    And it is offered 2 calls a second for 1 seconds
    Then its answers state 1000 to 2500 milliseconds, and its last registration 3000 to 3000
    When it has no calls for 2 seconds
    Then its answers state 1000 to 2500 milliseconds, and its last registration 0 to 0
    And it has registered once for each change

  # Guards against any order of states, reports and pauses in which the bound is broken.
  Scenario: The bound holds for any order of events
    Then no order of calls, reports, silences, suspensions and resets breaks the bound of a known state
