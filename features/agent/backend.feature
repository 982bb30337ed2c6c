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

  # Guards against one spoiled header that ends the process, and with it the calls of all callers.
  Scenario Outline: A spoiled header of a response fails at most its own call
    When an attempt at a live back end asks for <target>
    Then the attempt has ended as <end>

    Examples:
      | target             | end          |
      | /long-keep-alive   | answered 200 |
      | /long-load         | answered 200 |
      | /long-limit        | answered 200 |
      | /odd-keep-alive    | answered 200 |

  Scenario: A fault in reading a response fails its own call alone
    When reading the response to an attempt raises an error
    Then the attempt has ended as backend-failed after bytes

  Scenario: Spoiled headers of health responses end no process
    Then for any values of the headers that are read, health probes have a result

  Scenario Outline: Numbers from outside are bounded before they are parsed
    Then the text <text> is the number <number>

    Examples:
      | text             | number |
      | 0                | 0      |
      | 999999999        | 999999999 |
      | 1000000000       | none   |
      | 5000 digits      | none   |
      | superscript two  | none   |
      | Arabic digit two | none   |
      | -1               | none   |
      | nothing          | none   |
