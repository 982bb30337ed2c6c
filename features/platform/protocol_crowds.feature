@crowd
Feature: Clients that break the limits of HTTP/2 or of links end no process by memory or descriptors

  Scenario Outline: HTTP/2 clients of the callers' listener: <form>
    Given a control process and a node of the platform with 120 MB of memory
    When <crowd> HTTP/2 clients send <form> to the listener for callers
    Then the process lives, and stayed within 120 MB and 400 descriptors
    And an ordinary request, a reading of the configuration and of the readiness are answered

    Examples: Forms
      | form                                            | crowd |
      | idle connections                                | 300   |
      | header lists over the limit                     | 150   |
      | CONTINUATION frames without end                 | 60    |
      | a header block that does not end                | 150   |
      | a frame over the largest size that does not end | 60    |
      | requests of many indexed fields that do not end | 60    |
      | requests of many short fields that do not end   | 60    |
      | requests that do not end                        | 150   |
      | requests that are reset at once                 | 150   |
      | SETTINGS whose answers are not read             | 150   |
      | PING whose answers are not read                 | 150   |
      | PRIORITY of streams that do not exist           | 60    |
      | empty DATA frames without end                   | 150   |
      | responses that are not read                     | 60    |

  # Each connection has a cost of its own besides what its client sends.
  Scenario: Many HTTP/2 clients whose header blocks do not end
    Given a control process and a node of the platform with 120 MB of memory
    When 1000 HTTP/2 clients send a header block that does not end to the listener for callers
    Then the process lives, and stayed within 100 MB and 1200 descriptors
    And an ordinary request, a reading of the configuration and of the readiness are answered

  Scenario Outline: HTTP/2 clients of the control interface: <form>
    Given a control process and a node of the platform with 120 MB of memory
    When <crowd> HTTP/2 clients send <form> to the listener for control interface
    Then the process lives, and stayed within 120 MB and 400 descriptors
    And an ordinary request, a reading of the configuration and of the readiness are answered

    Examples: Forms
      | form                                            | crowd |
      | a header block that does not end                | 150   |
      | a frame over the largest size that does not end | 60    |
      | requests of many short fields that do not end   | 60    |
      | requests that are reset at once                 | 150   |
      | SETTINGS whose answers are not read             | 150   |

  Scenario Outline: HTTP/2 clients of the listener for <listener>
    Given a control process and a node of the platform with 120 MB of memory
    When 60 HTTP/2 clients send a frame over the largest size that does not end to the listener for <listener>
    Then the process lives, and stayed within 120 MB and 400 descriptors
    And an ordinary request, a reading of the configuration and of the readiness are answered

    Examples: Listeners
      | listener       |
      | readiness      |
      | metrics        |
      | instances      |
      | gRPC operators |

  Scenario Outline: Clients that say no whole hello to a node: <form>
    Given a control process and a node of the platform with 120 MB of memory
    When 600 clients send <form> to the listener for node links
    Then the process lives, and stayed within 120 MB and 400 descriptors
    And an ordinary request, a reading of the configuration and of the readiness are answered

    Examples: Forms
      | form                               |
      | nothing                            |
      | a hello whose last byte is missing |
      | a hello byte by byte               |
      | a hello over its limit             |
      | frames that are no hello           |

  Scenario Outline: Clients that say no whole hello to a control process: <form>
    Given a control process and a node of the platform with 120 MB of memory
    When 600 clients send <form> to the listener for replica links
    Then the process lives, and stayed within 120 MB and 400 descriptors
    And an ordinary request, a reading of the configuration and of the readiness are answered

    Examples: Forms
      | form                               |
      | nothing                            |
      | a hello whose last byte is missing |
