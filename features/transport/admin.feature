Feature: No client of the admin listener can end the process or lock a monitor out

  Scenario Outline: A client that breaks the protocol loses its own connection only
    Given an admin listener
    When an admin client sends <bytes>
    Then the admin listener ends that client's connection
    And the admin listener answers /healthz with 200

    Examples:
      | bytes                                          |
      | data on an HTTP/2 stream that was never opened |
      | bytes that are not HTTP                        |
      | headers of 1 MiB                               |
      | a broken HTTP/2 frame                          |

  Scenario: The protocol's breach is a numbered event
    Given an admin listener
    When an admin client sends data on an HTTP/2 stream that was never opened
    Then the admin listener logs 1031

  Scenario: Connections are bounded
    Given an admin listener
    When 40 admin clients connect and say nothing
    Then the admin listener logs 1032
    And the admin listener holds 32 connections at most
    When the admin clients leave
    Then the admin listener answers /healthz with 200

  Scenario: Silent connections make room for a monitor
    Given an admin listener
    When 40 admin clients connect and say nothing
    Then the admin listener answers /healthz with 200

  Scenario: Kept connections make room for a monitor
    Given an admin listener
    When 32 admin clients are each answered and keep their connections
    Then the admin listener answers /healthz with 200

  Scenario: Connections that their clients closed hold no place
    Given an admin listener
    When 100 admin clients, one after the other, are answered and leave
    Then the admin listener has not logged 1032

  Scenario Outline: A suspended process comes back to a hundred dead connections
    Given an admin listener
    When the admin listener's process is suspended
    And 100 admin clients <do> and leave
    And the admin listener's process is resumed
    Then the admin listener answers /healthz with 200

    Examples:
      | do          |
      | ask         |
      | say nothing |

  Scenario Outline: An idle connection ends by itself
    Given an admin listener that ends idle connections after 0.2 seconds
    When an admin client <idles>
    Then the admin listener ends that client's connection

    Examples:
      | idles                                 |
      | says nothing                          |
      | is answered and keeps its connection  |

  Scenario: A client that reads nothing does not hold up the stop
    Given an admin listener
    When an admin client asks for /metrics 20000 times and reads nothing
    Then the admin listener answers /healthz with 200
    And the admin listener stops

  Scenario Outline: What it answers
    Given an admin listener
    Then the admin listener answers <method> <path> with <status>

    Examples:
      | method | path     | status |
      | GET    | /healthz | 200    |
      | GET    | /readyz  | 503    |
      | GET    | /metrics | 200    |
      | GET    | /other   | 404    |
      | POST   | /metrics | 405    |
