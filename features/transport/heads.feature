Feature: A request's head is bounded before it is parsed

  Scenario: A head of many fields is refused before all of its fields are built
    Given a reader of requests whose heads have at most 4096 bytes
    When it receives the start of a head and 65536 bytes of short lines at once
    Then it has refused a head, and built less than 262144 bytes

  Scenario: A value without end is refused within the first bytes received
    Given a reader of requests whose heads have at most 4096 bytes
    When it receives the start of a head and 65536 bytes of one value at once
    Then it has refused a head, and built less than 65536 bytes

  Scenario: A target without end is refused within the first bytes received
    Given a reader of requests whose heads have at most 4096 bytes
    When it receives 65536 bytes of one target at once
    Then it has refused a head, and built less than 65536 bytes

  Scenario: Empty lines before a request count as bytes of its head
    Given a reader of requests whose heads have at most 4096 bytes
    When it receives 1024 bytes of empty lines 8 times
    Then it has refused a head, and built less than 65536 bytes

  Scenario: A head over the limit behind a whole request is refused, and the request is served
    Given a reader of requests whose heads have at most 4096 bytes
    When it receives a whole request and 32768 bytes of a head that does not end at once
    Then it has read 1 request, and refused a head

  Scenario: A head of the largest size is read, however it is cut
    When a head of the largest size is received in two parts, cut anywhere
    Then it is read each time

  Scenario: A head that arrives slowly does not outlive the time for a head
    When a connection of 60 idle seconds, and 20 for a head, receives a byte of a head each second
    Then the connection ended at 20 seconds

  Scenario: Empty lines do not extend the time for a head
    When a connection of 60 idle seconds, and 20 for a head, receives an empty line each second
    Then the connection ended at 20 seconds
