Feature: The clients of a process's own interfaces can't fill its memory

  Scenario: Bodies of all connections together are bounded
    Given an interface of a process that returns each body
    When 40 clients of that interface each send 1 MiB of a body of 2 MiB
    Then some of them are refused with 503
    And that interface serves another client once these have left

  Scenario: A client that still sends a body which was refused reads the refusal
    Given a callers' listener
    When a caller sends a body over the limit for 2.5 seconds, and then reads
    Then that caller is answered with 413

  Scenario: Responses that nobody reads are bounded
    Given an interface of a process that returns 12 MiB for a request without a body
    When 4 clients of that interface ask, and read nothing
    Then another client is refused with 503
    And that interface serves another client once these have left

  Scenario: Bodies of all connections over HTTP/2 together are bounded
    Given an interface of a process that reads each body whole
    When 10 clients over HTTP/2 of that interface each send 4 MiB of a body without end
    Then one of them is refused with 503 over HTTP/2
    And that interface serves another client once these have left

  Scenario: Responses over HTTP/2 that nobody reads are bounded
    Given an interface of a process that returns 12 MiB for a request without a body
    When 4 clients over HTTP/2 of that interface ask, and read nothing
    Then another client over HTTP/2 is refused with 503
    And that interface serves another client once these have left

  # A connection with a request in progress never makes room for another.
  Scenario: A body over HTTP/2 that never ends is refused, and its connection makes room
    Given an interface with 2 connections over HTTP/2 whose clients have 0.2 seconds to send a body
    When 2 clients over HTTP/2 of that interface each begin a body that does not end
    Then each of them is refused with 503 over HTTP/2, and none was run
    And another client over HTTP/2 of that interface is served
