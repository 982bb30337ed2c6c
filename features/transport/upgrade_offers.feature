Feature: A request that offers another protocol is served as it was sent

  Scenario Outline: The body of a request with Upgrade is not lost, and not run as a request
    Given a callers' listener
    When a caller offers <protocol> with a body <framing>, and sends another request behind it
    Then the callers' listener has run both requests as they were sent

    Examples:
      | protocol  | framing                      |
      | h2c       | of a stated length           |
      | h2c       | in chunks                    |
      | h2c       | that waits for 100 Continue  |
      | h2c       | that is empty                |
      | websocket | of a stated length           |
      | websocket | in chunks                    |

  Scenario: The body of an operator's request with Upgrade is not lost
    Given an interface of a process that returns each body
    When a client of that interface offers h2c with a body of a stated length
    Then that client reads its body

  Scenario: A request with Upgrade is read the same however its bytes are cut
    Then requests with Upgrade are read whole when they are cut at any byte

  Scenario: A drawn request that is accepted is the one that another parser finds
    Then drawn requests have the method, target and body that h11 finds in the same bytes

  Scenario: No offer of another protocol reaches an instance
    Then the headers for an instance hold neither Upgrade nor HTTP2-Settings
