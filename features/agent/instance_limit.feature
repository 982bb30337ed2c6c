Feature: An instance is sent no more calls than the limit that it states
  Starts are counted over all proxies, at the agent. A response states the limit of the moment at which it is sent.

  # Guards against agents that don't heed the limit, or leave a part of it unused.
  Scenario Outline: The limit is kept and used in full
    Given an agent whose instance states a limit of <limit> a second
    When its callers send <offered> calls a second for 12 seconds
    Then the starts in any 4 seconds after the first response are <least> to <most>
    And calls beyond the limit are refused at once as "instance-limited", not run

    Examples:
      | limit | offered | least | most |
      | 12.5  | 60      | 47    | 54   |
      | 37.7  | 200     | 147   | 161  |
      | 0.4   | 20      | 1     | 3    |
      | 0     | 20      | 0     | 3    |

  # Guards against calls that wait until their deadline although they can't be started by then.
  Scenario: Calls are queued when the instance states a limit
    Given an agent whose instance states no limit and takes 0.5 seconds for a call
    When 40 calls with 3 seconds left arrive, and the instance states a limit of 2 a second
    Then those that can't be started in time are refused at once as "instance-limited"
    And the refused callers get different times

  # Guards against responses that overlap: one that was sent before the limit doesn't end it.
  Scenario: A response to a call from before the limit arrives late
    Given an agent whose instance states no limit and takes 0.05 seconds for a call
    When a call of 5 seconds is started, and the instance then states a limit of 4 a second
    Then the limit is still 4 after the response to that call, which was sent before
    When the instance states a limit of 9 a second
    Then the limit is 9 after the next calls
    When the instance states no limit
    Then the limit is 0 after the next calls

  # Guards against values that raise, or that end or start a limit by mistake.
  Scenario Outline: The instance states a limit that is unusual
    Given an agent whose instance states a limit of 5 a second
    When a response states the limit "<value>"
    Then the limit is <limit>, and <lines> lines say that it is invalid

    Examples:
      | value          | limit   | lines |
      | -3             | 5       | 1     |
      | NaN            | 5       | 1     |
      | inf            | 5       | 1     |
      | 1e999          | 5       | 1     |
      | five           | 5       | 1     |
      | 0x10           | 5       | 1     |
      | 7; q=1         | 5       | 1     |
      | 0              | 0.25    | 0     |
      | 0.001          | 0.25    | 0     |
      | 3, 2.5, 8      | 2.5     | 0     |
      | 4, x           | 4       | 0     |
      | 4.             | 4       | 0     |

  # Guards against an agent that starts beside a limited instance and knows nothing of it.
  Scenario: An agent that has restarted learns the limit from the proxies' calls
    Given an agent whose instance states a limit of 6 a second
    When its callers send 40 calls a second for 5 seconds
    And the agent is killed and started again, and proxies that know the limit send 40 calls a second for 5 seconds
    Then the starts of both agents in any 4 seconds after the first response are 20 to 27

  # Guards against a proxy whose knowledge is older than the instance's own word.
  Scenario: The instance's response goes before what proxies have heard
    Given an agent whose instance states no limit and takes 0.05 seconds for a call
    When a call arrives by a proxy that has heard of a limit of 3, and one by a proxy that has heard of 2
    Then the limit is 2
    When the instance responds without a limit
    And a call arrives by a proxy that has heard of a limit of 3
    Then the limit is 0

  # Guards against a response of another process at the address, and of a health probe without the header.
  Scenario: What is no statement of the instance changes nothing
    Given an agent whose instance states a limit of 5 a second
    When a response with status 421 states no limit
    And a health response states no limit
    Then the limit is 5
    When a health response states a limit of 3
    Then the limit is 3

  # Guards against one limit that replaces the other.
  Scenario Outline: An instance that warms up states a limit
    Given a warming agent whose instance states a limit of <limit> a second
    When its callers send 60 calls a second for 8 seconds
    Then the starts in any 4 seconds after the first response are <least> to <most>

    Examples:
      | limit | least | most |
      | 2     | 7     | 10   |
      | 50    | 17    | 24   |

  # Guards against any order of statements and calls that breaks the users' bound.
  Scenario: The bound holds for any order of statements
    Then no order of calls and limits that the agent has heard breaks one and a half of the limit and 5 calls

  # Guards against operators who can't see a limit.
  Scenario: A limit is logged, measured and stated to proxies and relays
    Given a registered agent whose instance states a limit of 6 a second
    When its callers send 40 calls a second for 2 seconds
    Then its log says once that the limit is 6
    And it counts calls that the limit has delayed and refused
    And its responses state the limit, and a share of it for each proxy
    And its registration states the limit, at most once a second

  # Guards against an instance that goes on getting calls after it has stated that it is leaving.
  Scenario: The instance states that it is leaving
    Given a registered agent whose instance states no limit
    When the instance states that it is leaving
    Then the response says so to the proxy, and the registration to the relay
    And a further call is refused as draining, not run
    And queued calls are refused within the time for them

  # Guards against calls that are cut although the instance and the node go on.
  Scenario Outline: A long call runs while the instance states that it is leaving
    Given a registered agent whose instance states no limit
    When a call of 60 seconds is started, and the instance states that it is leaving
    And 50 seconds pass, <after>
    Then the long call is <end>

    Examples:
      | after                                      | end      |
      | and the node goes on                       | answered |
      | and the node is asked to stop after 10     | cut      |
