Feature: Events of closed connections are limited in rate

  # Guards against a log that clients outside the limits fill, one line for each connection.
  Scenario Outline: A crowd's closed connections are logged at a limited rate, with their number
    Given a guarded listener that serves one connection at a time
    When 50 clients in one second, and another one 2 seconds later, <what they do>
    Then that listener has logged <event> 11 times, the last time for <late> connections
    And the metric of events has counted <all> of them

    Examples: Events
      | what they do           | event                      | late | all |
      | break the protocol     | failed connections         | 41   | 51  |
      | stay beside each other | connections over the limit | 40   | 50  |
