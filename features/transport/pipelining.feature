Feature: Requests sent behind others on a connection are taken up at once and answered in order

  Scenario: Reads that are sent together run together
    Given a callers' listener
    When a caller sends GET /held four times in one piece
    Then the callers' listener runs 4 requests at once
    When these requests are answered last first
    Then that caller gets their answers in the order it asked

  Scenario: What may not be repeated waits for those before it, and holds back those behind it
    Given a callers' listener
    When a caller sends GET /held, POST /held and GET /held in one piece
    Then the callers' listener runs 1 requests at once
    When the oldest of these requests is answered
    Then the callers' listener runs 1 requests at once
    When the oldest of these requests is answered
    Then the callers' listener runs 1 requests at once
    When the oldest of these requests is answered
    Then that caller gets their answers in the order it asked

  Scenario: A refused request has its answer in its place
    Given a callers' listener
    When a caller sends GET /held and a request with a bad length in one piece
    Then the callers' listener runs 1 requests at once
    When the oldest of these requests is answered
    Then that caller gets the statuses 200 and 400, and the connection ends

  Scenario: A caller that leaves takes all its requests with it
    Given a callers' listener
    When a caller sends GET /held four times in one piece
    Then the callers' listener runs 4 requests at once
    When that caller leaves
    Then the callers' listener has given up 4 requests

  Scenario: What waits behind others on a connection that is to end is refused as not run
    It was read, and the connection closed without an answer to it.
    Given a callers' listener
    When a caller sends GET /held, POST /held and GET /held in one piece
    Then the callers' listener runs 1 requests at once
    When the callers' listener begins to leave
    And the oldest of these requests is answered
    Then that caller gets the statuses 200, 503 and 503, and the connection ends
    And only the last of these answers said that the connection ends
    And the refused requests are marked as not run, with a Retry-After header
    And the callers' listener has run 1 requests

  Scenario: What had begun when the listener leaves is answered, and only the last answer closes
    Given a callers' listener
    When a caller sends GET /held four times in one piece
    Then the callers' listener runs 4 requests at once
    When the callers' listener begins to leave
    And these requests are answered last first
    Then that caller gets the statuses 200, 200, 200 and 200, and the connection ends
    And only the last of these answers said that the connection ends

  Scenario: A caller that sends ever more is read no further than the limit
    Given a callers' listener
    When a caller sends GET /held 3000 times and reads nothing
    Then the callers' listener runs 64 requests at once
    When that caller leaves
    And these requests are answered last first
    Then the callers' listener answers another caller

  Scenario: The time ready answers wait for earlier ones is measured
    Given a callers' listener
    When a caller sends GET /held four times in one piece
    Then the callers' listener runs 4 requests at once
    When these requests are answered last first
    Then 3 ready answers have been counted as waiting for earlier ones

  Scenario: Leave to send a body comes once the answers before it are out
    Given a callers' listener
    When a caller sends GET /held and the head of a POST that awaits leave to send its body
    Then the callers' listener runs 1 requests at once
    And that caller has read nothing
    When the oldest of these requests is answered
    Then that caller gets the status 200 and then 100

  Scenario: Any interleaving of answers, requests and stops keeps the order
    Then drawn pipelines answer in order, begin nothing behind a write, and close after the last read
