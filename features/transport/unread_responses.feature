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

  Scenario: Refused requests are not all refused while their responses are unread
    Given a callers' handler, and requests with an invalid deadline
    When a client pipelines 900 requests and reads nothing for 10 seconds
    Then at most 200 requests were begun meanwhile
    And all are refused once the client reads

  Scenario: Requests behind responses that are not read are begun once these are read
    Given an application whose responses have 1000 bytes
    When a client pipelines 900 requests and reads nothing for 10 seconds
    Then at most 128 requests were begun meanwhile
    And all are answered in order once the client reads

  Scenario: A few requests of a connection run at once
    Given an application whose responses have 100000 bytes
    When a client pipelines 200 requests and reads nothing for 10 seconds
    Then at most 4 requests were begun meanwhile
    And all are answered in order once the client reads

  Scenario: Any pipeline that is read late is answered whole
    Then drawn pipelines are answered whole and in order, however late they are read
