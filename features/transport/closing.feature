Feature: How a connection is closed at once

  # Callers open many connections for few requests each. trio closes a stream by a cancelled wait,
  # which takes the process one or two turns of the loop for each of them.
  Scenario: A plain socket is closed without a turn of the loop
    Given a connection over a plain socket
    When it is closed at once
    Then it took 0 turns of the loop
    And its other end reads the end
    And whoever waited to read from it is told that it was closed

  Scenario: A plain socket is closed within a task that is cancelled
    Given a connection over a plain socket
    When it is closed at once by a task that is cancelled
    Then it took 0 turns of the loop
    And its other end reads the end

  Scenario: Any other stream is closed by its own way, within a cancelled task too
    Given a connection over a wrapped socket
    When it is closed at once by a task that is cancelled
    Then its other end reads the end

  Scenario: The accept loop's own close after a handler's takes no turn either
    Given a connection over a plain socket
    When its handler has closed it and the accept loop closes what it accepted
    Then it took 0 turns of the loop
    And its other end reads the end

  Scenario: The accept loop closes a connection that its handler has left open
    Given a connection over a plain socket
    When its handler has left it open and the accept loop closes what it accepted
    Then it took 0 turns of the loop
    And its other end reads the end
