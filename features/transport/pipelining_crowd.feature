Feature: A crowd that sends requests behind others does not hold up other callers

  # Guards against thousands of calls in progress before that of a caller that sends one request.
  Scenario: Requests behind others are begun up to a limit of the listener
    Given a callers' listener
    When 10 callers of a crowd each send GET /held 64 times
    Then the callers' listener runs 266 requests at once
    When a caller beside that crowd asks
    Then that other request is answered beside theirs
    When the requests of that crowd are answered as they are begun
    Then each of the crowd's requests is answered, and none is in progress

  Scenario: Callers that leave make room for requests behind others
    Given a callers' listener
    When 10 callers of a crowd each send GET /held 40 times
    Then the callers' listener runs 266 requests at once
    When all callers of that crowd leave
    Then the callers' listener has given up 266 requests
    When 6 callers of a crowd each send GET /held 40 times
    Then the callers' listener then runs 240 more requests

  Scenario: Any interleaving of the requests of connections keeps the limit
    Then pipelines with a common limit keep it, and the oldest request of each is in progress
