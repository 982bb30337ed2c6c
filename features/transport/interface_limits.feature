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
