Feature: The agent's HTTP client reports whether any byte reached the back end

  Scenario Outline: Each attempt at a back end ends with one event
    When an attempt at a live back end asks for <target>
    Then the attempt has ended as <end>

    Examples:
      | target     | end                                  |
      | /ok        | answered 200                         |
      | /shed      | answered 503                         |
      | /slow      | deadline-exceeded after bytes        |
      | /cancelled | cancelled after bytes                |
      | /drop      | backend-failed after bytes           |
      | /big       | backend-failed after bytes           |
      | /refused   | backend-failed before any byte       |

  Scenario: Sequential attempts share a connection
    When 3 attempts in turn are sent to a back end that keeps connections open
    Then the agent's client was answered 3 times over 1 connection

  Scenario: A pooled connection that the back end closed is not reused
    When 3 attempts in turn are sent to a back end that closes after each answer
    Then the agent's client was answered 3 times over 3 connections

  Scenario: The number of open connections is limited
    When 5 attempts at once are sent to a back end by an agent limited to 2 connections
    Then the agent's client was answered 5 times over 2 connections

  Scenario: A back end receives the time left to the deadline
    When an attempt whose caller waits 10 seconds gets its connection after 4
    Then the agent's client told the back end that 6000 ms are left
