Feature: Responses that clients do not read are bounded

  Scenario: Requests are not received from a client that reads no responses
    Given a listener whose responses have 1000 bytes
    When a client sends 2000 requests and reads nothing for 10 seconds
    Then at most 300 requests were served
    And the rest is served once the client reads

  Scenario: The client that has stalled the longest makes room for others
    Given a listener whose responses have 1000 bytes, and room for 60 unread ones
    When a client sends 200 requests and reads nothing, and 10 seconds later another 200
    Then the first connection was closed, and not the second
    And no unread response is held in the end
