Feature: Reports and health responses tell an agent of its instance's warm-up

  # Guards against a state that is read only when the agent starts.
  Scenario: Every newer report of the current run is passed on
    Given a node whose instance "one", started at 2000, has sent report 5 with 3 seconds left
    When "one", started at 2000, sends report 6 with 1.5 seconds left
    Then the agent is told of report 6 with 1.5 seconds left

  # Guards against the warm state of a former run.
  Scenario Outline: A report of another time is not passed on
    Given a node whose instance "one", started at 2000, has sent report 5 with 3 seconds left
    When "<instance>", started at <started>, sends report <number> with 0 seconds left
    Then the agent is told of no report

    Examples:
      | instance | started | number |
      | one      | 1000    | 900    |
      | former   | 1000    | 900    |

  # Guards against reports that are ignored because a former run had sent more of them.
  Scenario: A new run starts with a low sequence
    Given a node whose instance "one", started at 2000, has sent report 900 with 0 seconds left
    When "one", started at 3000, sends report 1 with 3 seconds left
    Then its new agent will start with report 1 and 3 seconds left
    When "one", started at 3000, sends report 2 with 2 seconds left
    Then the agent is told of report 2 with 2 seconds left

  # Guards against an agent that starts with the state of a late report.
  Scenario: A late report comes before the agent of a new run is ready
    Given a node whose instance "one", started at 2000, has sent report 5 with 3 seconds left
    When "one", started at 2000, sends report 4 with 0 seconds left
    Then a new agent of the run will start with report 5 and 3 seconds left

  Scenario Outline: The warm-up is read from a health response
    Then a health response whose warm-up header is "<value>" tells <left>

    Examples:
      | value        | left        |
      | 2500         | 2.5 seconds |
      | 0            | 0 seconds   |
      | -5           | nothing     |
      | soon         | nothing     |
      | 999999999999 | nothing     |
      | none         | nothing     |

  # Guards against a header that is configured and not read from the response.
  Scenario: A health probe of a live back end reads the header
    When a back end whose health response tells 2500 milliseconds of warm-up is probed
    Then the probe tells that it is healthy with 2.5 seconds left
    And the instance found by it has 2.5 seconds left
