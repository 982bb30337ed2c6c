Feature: No caller can end a proxy, hold its memory or keep it from stopping

  Scenario Outline: A caller that breaks the protocol loses its own connection only
    Given a callers' listener
    When a caller's connection sends <bytes>
    Then the callers' listener ends that caller's connection
    And the callers' listener answers another caller

    Examples:
      | bytes                                          |
      | data on an HTTP/2 stream that was never opened |
      | bytes that are not HTTP                        |
      | headers of 1 MiB                               |
      | a broken HTTP/2 frame                          |

  # RFC 9113, section 8.1: a server may end its response before the request has ended.
  Scenario: A body that goes on after its refusal costs no other call of its connection
    Given a callers' listener
    When a caller over HTTP/2 has a call in flight beside a body of 1 GiB that was refused with 413
    And it sends 1024 KiB of that body all the same
    Then its call in flight is answered, and its next one
    And the callers' listener has not logged 4031

  Scenario: Data behind the end of a request costs that call only
    Given a callers' listener
    When a caller over HTTP/2 has a call in flight beside another on which it sends data behind the end
    Then the other call is reset with STREAM_CLOSED
    And its call in flight is answered, and its next one

  Scenario: Data on a stream that both sides have ended costs no other call of its connection
    Given a callers' listener
    When a caller over HTTP/2 has a call in flight, and sends data on the stream of one that has ended
    Then its call in flight is answered, and its next one

  Scenario Outline: What is too large is refused with the status that says so
    Given a callers' listener
    When a caller asks with <what>
    Then that caller is answered with <status>
    And the callers' listener answers another caller

    Examples:
      | what              | status |
      | headers of 40 KiB | 431    |
      | a body of 5 MiB   | 413    |

  Scenario Outline: A request that two readers could take for different ones is refused
    Given a callers' listener
    When a caller sends a request with <doubt>, and another behind it
    Then that caller is answered with <status>
    And the callers' listener ends that caller's connection
    And the callers' listener has run nothing

    Examples:
      | doubt                                    | status |
      | a length beside a transfer coding        | 400    |
      | a transfer coding in HTTP/1.0            | 400    |
      | two lengths that differ                  | 400    |
      | a list of lengths                        | 400    |
      | a length with a sign                     | 400    |
      | a transfer coding that is not known      | 501    |
      | a second transfer coding                 | 501    |
      | a chunk size that is no number           | 400    |
      | a chunk longer than its size             | 400    |
      | the method CONNECT                       | 400    |
      | a target that names another host         | 400    |
      | a fragment in its target                 | 400    |
      | a control character in its target        | 400    |
      | no host                                  | 400    |
      | two hosts                                | 400    |
      | a host with a path in it                 | 400    |
      | a space before a header's colon          | 400    |
      | a bare carriage return in a header       | 400    |
      | a NUL in a header                        | 400    |
      | a version that is not served             | 400    |

  Scenario: A target that names the host itself is asked for by its path
    Given a callers' listener
    When a caller sends a request with a target that names its own host
    Then that caller is answered with 200
    And the callers' listener was asked for "/orders?x=1"

  Scenario: Headers that never end cost their connection
    Given a callers' listener that ends idle connections after 200 ms
    When a caller's connection sends half of its headers
    Then the callers' listener ends that caller's connection

  Scenario: A body that never ends is refused, with nothing run
    Given a callers' listener whose callers have 0.2 seconds to send a body
    When a caller's connection sends half of its body
    Then that caller is answered with 503
    And the callers' listener has run nothing
    And the callers' listener answers another caller

  Scenario Outline: The protocol's breach is a numbered event
    Given a callers' listener
    When a caller's connection sends <bytes>
    Then the callers' listener logs 4031

    Examples:
      | bytes                                          |
      | data on an HTTP/2 stream that was never opened |
      | a broken HTTP/2 frame                          |

  Scenario: At the limit the connection that is idle longest makes room
    Given a callers' listener with 8 connections
    When 8 callers are each answered and keep their connections
    Then the callers' listener answers another caller
    And the callers' listener logs 4032
    And only the first of these callers has lost its connection

  # A connection over HTTP/2 costs many times the memory of another.
  Scenario: At the limit on connections over HTTP/2 the one that is idle longest makes room
    Given a callers' listener with 2 connections over HTTP/2
    When 3 callers over HTTP/2 are each served and keep their connections
    Then the callers' listener logs 4032
    And only the first of these callers over HTTP/2 has lost its connection
    And the callers' listener answers another caller

  Scenario: A call in flight is never cut to make room
    Given a callers' listener with 2 connections
    When 2 callers have a call in flight
    And one caller too many connects
    Then the callers' listener ends that caller's connection
    And the calls in flight are answered

  Scenario: A caller that reads nothing does not hold up a planned stop
    Given a callers' listener
    When a caller reads nothing of an answer of 32 MiB
    And the callers' listener makes a planned stop within 0.2 seconds
    Then the callers' listener has ended

  Scenario: Callers that leave their answers untaken leave nothing behind
    Given a callers' listener
    When 5 callers over HTTP/2 take nothing of an answer of 1 MiB
    Then the callers' listener holds 5 connections
    When these callers leave
    Then the callers' listener holds 0 connections

  Scenario: An answer that is made after its caller has left holds no connection
    Given a listener whose application answers only after its caller has left
    When a caller over HTTP/2 asks it and leaves
    Then that listener holds no connection

  Scenario: A request that ends without an answer while its caller leaves holds no connection
    Given a listener whose application ends a request without an answer while its callers leave
    When a caller over HTTP/2 has many requests in progress and leaves
    Then that listener holds no connection

  Scenario: A request that ends without an answer behind one that its caller doesn't read
    Given a listener whose application ends a request without an answer while another is sent
    When a caller over HTTP/2 reads nothing of a large answer, asks that request too and leaves
    Then that listener holds no connection

  Scenario: A body over HTTP/2 that is answered unread holds up nothing
    Given a listener whose application answers without reading a body
    When a caller over HTTP/2 sends a body in 20 frames
    Then that caller is answered over HTTP/2, and its next request as well
    When that caller leaves
    Then that listener holds no connection

  Scenario: A caller that takes its answer too slowly is cut off
    Given a callers' listener whose callers have 0.2 seconds to take an answer
    When 1 callers over HTTP/2 take nothing of an answer of 1 MiB
    Then the callers' listener ends that caller's connection
    And the callers' listener holds 0 connections
    And the callers' listener has not logged 1041

  Scenario: A fault while a request is served is a numbered event
    Given a callers' listener whose core has a fault
    When a caller asks the callers' listener
    Then that caller is answered with 500
    And the callers' listener logs 1041

  Scenario Outline: An answer leaves in one piece, and its head is not held for a body that waits
    Given a callers' listener
    When a caller asks for <target> and reads what comes first
    Then that caller has the head and <part> of the answer, in one packet

    Examples:
      | target  | part          |
      | /orders | the body      |
      | /empty  | nothing else  |
