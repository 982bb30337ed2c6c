Feature: Stand-ins and load generator
  The figures of the demonstration rest on them, so they are proved on their own first.

  Scenario: Callers against back ends that shed nothing
    Given 2 back ends of the order service
    When callers make 80 calls a second for 2 seconds
    Then every call is answered
    And no call is lost, mismatched or run twice

  Scenario: Resends after lost answers are told apart by the audit
    Given 1 back end of the order service
    When callers make 100 calls a second for 2 seconds and drop 50 percent of first answers
    Then the audit names calls that were run twice

  Scenario: A full back end sheds and does not run what it sheds
    Given 1 back end of the catalogue service with 1 slot and no queue
    When callers make 60 calls a second for 2 seconds
    Then some calls are refused
    And no call is lost, mismatched or run twice

  Scenario: Counts of runs outlive a killed back end
    Given 1 back end of the order service
    When callers make 50 calls a second for 1 seconds
    And the back end is killed and started again
    Then its counts of runs are those from before

  Scenario: A slow link delays answers, and a cut is seen by callers
    Given 1 back end of the order service
    And a link of 20 ms to it
    When one call is made through the link
    Then its answer takes at least 40 ms
    When the link is cut
    Then a call through the link is cut or not sent
    When the link is healed
    Then a call through the link is answered
    When the link is silenced
    Then a call through the link is cut or not sent
    When the link is healed
    Then a call through the link is answered

  Scenario: A connection that lost bytes is closed when its link is healed
    When a link swallows bytes of a connection and is healed
    Then the connection was closed, with nothing after the gap

  Scenario: A link that is silent in one direction carries the other
    When a link swallows the echo of what is sent on it
    Then the target received all that was sent

  Scenario Outline: A caller whose patience counts from the stop outwaits an outage
    Given a proxy that is out for 90 seconds of virtual time
    When a call with a patience of 60 seconds counted from <start> is made and calls stop after 91 seconds
    Then the call's fate is "<fate>"

    Examples:
      | start     | fate     |
      | its start | lost     |
      | the stop  | answered |

  Scenario: A call that has no answer though everything is back is lost
    Given a proxy that is out for 1000 seconds of virtual time
    When a call with a patience of 60 seconds counted from the stop is made and calls stop after 91 seconds
    Then the call's fate is "lost"

  Scenario: The platform list lags
    Given a platform list with a lag of 500 ms
    When the machine "order-1" is marked leaving
    Then the list does not name "order-1" yet
    And the list names "order-1" as leaving within 10 seconds

  Scenario: The same seed draws the same calls
    Then two draws of 200 calls from seed 7 are equal
    And draws from seeds 7 and 8 differ
