Feature: The audit of requests on kept connections
  The soak of kept connections judges requests from outside, by what callers, instances and the
  strikes tell. Here it gets single requests whose verdict is known.

  Scenario Outline: A connection that ends without an answer
    Given a request sent <sent> s after SIGTERM to its node, and closed <closed> s after it
    And an instance that <ran>
    And <unplanned> of another machine
    Then the request counts as <verdict>

    Examples: Read and not answered
      | sent | closed | ran                          | unplanned | verdict            |
      | -1.0 | 5.1    | never got it                 | nothing   | broken             |
      | 1.0  | 1.5    | never got it                 | nothing   | broken             |
      | 1.0  | 1.1    | was at work from 1.0 to 1.05 | nothing   | broken             |
      | 1.0  | 5.1    | was at work from 1.0 to 4.0  | nothing   | broken             |
      | 1.0  | 4.5    | was at work from 1.0 to 8.0  | nothing   | broken             |
      | 3.5  | 5.1    | was at work from 3.5 to 8.0  | nothing   | broken             |
      | 1.0  | 1.5    | never got it                 | SIGKILL 4.0 to 3.5 s before it | broken |

    Examples: Allowed
      | sent | closed | ran                          | unplanned | verdict            |
      | 1.0  | 1.1    | never got it                 | nothing   | not read           |
      | 1.0  | 5.1    | was at work from 1.0 to 8.0  | nothing   | at work at the end |
      | -4.0 | 4.0    | never got it                 | nothing   | late               |
      | 1.0  | 1.5    | never got it                 | SIGKILL 2.5 to 2.0 s before it | unplanned |

  Scenario Outline: An answer
    Given a request of kind <kind> that was answered <status> and ran <runs> times
    Then the request counts as <verdict>

    Examples:
      | kind   | status | runs | verdict |
      | read   | 200    | 2    | kept    |
      | write  | 200    | 1    | kept    |
      | write  | 503    | 0    | kept    |
      | upload | 502    | 1    | kept    |
      | write  | 200    | 2    | broken  |
      | upload | 504    | 2    | broken  |
      | write  | 503    | 1    | broken  |
      | upload | 429    | 1    | broken  |
      | read   | 200    | 0    | broken  |
      | read   | 404    | 0    | broken  |

  Scenario: An answer that belongs to another request
    Given a request of kind read that was answered 200 and ran 1 times
    And whose answer names another
    Then the request counts as broken

  Scenario Outline: An answer of the node's own while an instance is at work
    Given a request sent <sent> s after SIGTERM to its node, and answered <status> <answered> s after it
    And an instance beside <instance> that was at work from <begun> to <ends>
    And <strikes> to the instance's node
    Then the request counts as <verdict>

    Examples: In place of an instance that could have answered
      | sent | status | answered | instance | begun | ends | strikes                     | verdict |
      | 0.2  | 502    | 0.6      | b        | 0.2   | 1.8  | nothing                     | broken  |
      | 0.2  | 503    | 0.6      | b        | 0.2   | 1.8  | nothing                     | broken  |
      | -2.0 | 504    | 4.9      | b        | -2.0  | 5.2  | nothing                     | broken  |
      | 0.2  | 502    | 0.6      | a        | 0.2   | 1.8  | nothing                     | broken  |
      | 0.2  | 502    | 0.6      | b        | 0.2   | 1.8  | SIGTERM at -5.0, start at 0 | broken  |
      | 0.2  | 502    | 0.6      | b        | 0.2   | 1.8  | SIGTERM at 0.7              | broken  |
      | 0.2  | 502    | 0.6      | b        | 0.2   | 1.8  | SIGHUP at 0.3               | broken  |

    Examples: Allowed
      | sent | status | answered | instance | begun | ends | strikes                     | verdict              |
      | 0.2  | 502    | 0.6      | b        | 0.2   | 1.8  | SIGTERM at 0.4              | in place, also stopping |
      | 0.2  | 502    | 0.6      | b        | 0.2   | 1.8  | SIGTERM at -1.0             | in place, also stopping |
      | 0.2  | 502    | 0.6      | b        | 0.2   | 1.8  | SIGTERM at 0.3, start at 0.5 | in place, also stopping |
      | 0.2  | 502    | 5.1      | b        | 0.2   | 5.7  | nothing                     | kept                 |
      | -4.0 | 504    | 4.0      | b        | -4.0  | 4.5  | nothing                     | kept                 |
      | 0.2  | 504    | 1.8      | b        | 0.2   | 1.8  | nothing                     | kept                 |
      | 0.2  | 200    | 0.6      | b        | 0.2   | 1.8  | nothing                     | kept                 |
      | 0.2  | 502    | 0.6      | b        | 0.2   | 1.8  | SIGKILL at 0.4              | kept                 |
      | -1.0 | 502    | -0.5     | b        | -1.0  | 0.5  | nothing                     | kept                 |

  Scenario: An answer of a process that began after the one that was stopped
    Given a request sent 0.2 s after SIGTERM to its node, and answered 502 0.6 s after it
    And an instance beside b that was at work from 0.2 to 1.8
    And a connection that was opened after the node was started again
    Then the request counts as kept

  Scenario: An end without an answer isn't excused by the stop of the process before
    Given a request sent 1.0 s after SIGTERM to its node, and closed 5.1 s after it
    And an instance that was at work from 1.0 to 8.0
    And a connection that was opened after the node was started again
    Then the request counts as broken

  Scenario Outline: What a process logs
    Given a process that logged <event>
    Then this counts as <verdict>

    Examples:
      | event             | verdict |
      | internal-fault    | broken  |
      | request-fault     | broken  |
      | process-failed    | broken  |
      | process-stopped   | kept    |
      | stop-limit-passed | kept    |

  Scenario Outline: Nodes that are ready long after SIGTERM
    Given <asked> nodes that were sent SIGTERM, of which <ready> still answer ready, and <gone> are gone
    And <struck> were struck by something unplanned then
    Then this counts as <verdict>

    Examples:
      | asked | ready | gone | struck | verdict |
      | 1     | 1     | 0    | 0      | broken  |
      | 3     | 1     | 2    | 0      | broken  |
      | 8     | 3     | 0    | 0      | broken  |
      | 4     | 1     | 0    | 0      | kept    |
      | 4     | 1     | 3    | 0      | kept    |
      | 8     | 0     | 8    | 0      | kept    |
      | 4     | 2     | 0    | 0      | broken  |
      | 4     | 2     | 0    | 4      | kept    |

  Scenario: Plans strike two control machines at most, and each machine ends running
    When the plans of 300 seeds are drawn for 5 control machines and 6 nodes
    Then no round strikes more than 2 control machines but by turns
    And each machine is started after its last stop and resumed after its last pause
    And the plans hold every kind of step
