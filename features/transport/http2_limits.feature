Feature: Limits on what an HTTP/2 client may send close no ordinary client's connection

  Scenario: A client that updates both windows for each frame that it reads
    Given a guard of an HTTP/2 client's frames
    When the client reads 64 MiB, and updates two windows for each frame of 16 KiB
    Then the guard lets all pass

  Scenario: A client that sends a PING and two window updates for each response
    Given a guard of an HTTP/2 client's frames
    When the client sends 20000 requests, with a PING and two window updates for each
    Then the guard lets all pass

  Scenario Outline: A client that only costs work: <form>
    Given a guard of an HTTP/2 client's frames
    When the client sends <form> 2000 times
    Then the guard closes the connection

    Examples: Forms
      | form                       |
      | an empty SETTINGS frame    |
      | a PING                     |
      | an empty DATA frame        |
      | a PRIORITY frame           |
      | a frame of an unknown type |
      | a request and its reset    |

  # A frame's head may arrive in parts.
  Scenario: Frames that arrive cut at any byte get the same verdict as whole
    Given drawn frames of an HTTP/2 client
    Then the guard's verdict on them is the same however they are cut

  Scenario: Requests over HTTP/2 for which there is no memory are refused, and not run
    Given an edge with memory for 2 requests over HTTP/2
    When a caller over HTTP/2 sends 3 requests at once whose answers are held
    And it sends one more with its body
    Then the last two are answered 503, and 2 requests were run
    When the held requests are answered
    Then the caller's next request over HTTP/2 is served

  # A refusal that waits to be sent would keep the header list of each connection's client.
  Scenario: The header lists of refused requests over HTTP/2 are freed before the refusals are sent
    Given an edge with memory for 2 requests over HTTP/2
    When a caller over HTTP/2 sends 3 requests at once whose answers are held
    And it sends one more with its body
    Then the last two are answered 503, and 2 requests were run
    And no received header list was in memory while bytes were sent

  # No application serves WebSockets; the library keeps what it refuses of them.
  Scenario Outline: Requests for a tunnel over HTTP/2 are refused, and nothing of them is kept
    Given an edge with memory for 2 requests over HTTP/2
    When a caller over HTTP/2 sends 50 requests for a tunnel <how>
    Then each is answered 400, and the listener holds no stream of them
    And the caller's next request over HTTP/2 is served

    Examples:
      | how                    |
      | of a WebSocket         |
      | of an unknown protocol |
      | without a version      |
      | that do not end        |

  # Callers cancel what they no longer need.
  Scenario: A connection whose client resets many of its requests beside served ones is kept
    Given an edge with memory for 10 requests over HTTP/2
    When a caller over HTTP/2 resets 100 requests, and is served after each 10
    Then the caller's next request over HTTP/2 is served
