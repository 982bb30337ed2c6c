Feature: An agent finds connections on which its instance no longer responds, and slots already taken

  Background:
    Given an agent of incarnation 7 with 3 slots and a proxy

  Scenario: A call that the instance doesn't count while others respond is ended well before its deadline
    Guards against a call that holds a slot and its caller until the deadline.
    Given calls to the instance take 0.1 seconds
    When the agent gets a call on agent stream 90 with 10 seconds left
    And 4 calls are answered, each stating 0 requests at the instance
    Then no attempt has been cancelled
    When 3 calls are answered, each stating 0 requests at the instance
    Then the connection of agent stream 90 has been given up, and logged
    When its cancelled attempt has ended
    Then agent stream 90 has failed with connection-lost
    When the agent gets a call on agent stream 91 with 10 seconds left
    Then the agent's back end received the request of agent stream 91

  Scenario: A call that may not be repeated is ended as unknown and sent once
    Given calls to the instance take 0.1 seconds
    When the agent gets an at-most-once call on agent stream 90
    And 8 calls are answered, each stating 0 requests at the instance
    And its cancelled attempt has ended
    Then agent stream 90 has failed with connection-lost
    And the request of agent stream 90 was sent to the instance once

  Scenario: A slow call that the instance counts is kept
    Given calls to the instance take 0.1 seconds
    When the agent gets a call on agent stream 90 with 10 seconds left
    And 30 calls are answered, each stating 1 requests at the instance
    Then no attempt has been cancelled

  Scenario: A header that counts its own request is recognised
    Guards against overlooking a single lost call, as its place is taken by the answered request.
    Given calls to the instance take 0.1 seconds
    When 6 calls are answered, each stating 1 requests at the instance
    And the agent gets a call on agent stream 90 with 10 seconds left
    And 8 calls are answered, each stating 1 requests at the instance
    Then the connection of agent stream 90 has been given up, and logged

  Scenario: A single response that states too few requests ends no call
    Guards against a response that was processed late.
    Given calls to the instance take 0.1 seconds
    When the agent gets a call on agent stream 90 with 10 seconds left
    And 5 calls are answered, each stating 1 requests at the instance
    And 1 calls are answered, each stating 0 requests at the instance
    And 5 calls are answered, each stating 1 requests at the instance
    Then no attempt has been cancelled

  Scenario: An instance without a load header keeps its calls
    Given calls to the instance take 0.1 seconds
    When the agent gets a call on agent stream 90 with 10 seconds left
    And 30 calls are answered without a load header
    Then no attempt has been cancelled

  Scenario: No check is made while calls end in their usual time
    Given calls to the instance take 0.1 seconds
    When 30 calls are answered, each stating 0 requests at the instance
    And 10 seconds pass at the agent
    Then the agent made no check of the instance

  Scenario: If no running call responds, the load is asked for over a new connection
    Given calls to the instance take 0.1 seconds
    And health responses of the instance have counted a slow call
    When the agent gets a call on agent stream 90 with 10 seconds left
    And 0.7 seconds pass at the agent
    Then the agent has asked the instance for its load 1 times
    When the instance states 0 requests in its health response
    And 0.3 seconds pass at the agent
    And the instance states 0 requests in its health response
    Then the connection of agent stream 90 has been given up, and logged

  Scenario Outline: Health responses that have never counted a running call end none
    Guards against calls that are cut while the instance runs them, as its health path states no load of its calls.
    Given calls to the instance take 0.1 seconds
    When the agent gets <calls> calls with 10 seconds left
    And the instance states <stated> requests in each health response for 5 seconds
    Then no attempt has been cancelled

    Examples:
      | calls | stated |
      | 1     | 0      |
      | 3     | 0      |
      | 3     | 2      |

  Scenario: A health response that states a call too few for a moment ends none
    Guards against a figure that is late.
    Given calls to the instance take 0.1 seconds
    And health responses of the instance have counted a slow call
    When the agent gets a call on agent stream 90 with 10 seconds left
    And 0.7 seconds pass at the agent
    And the instance states 0 requests in its health response
    And 0.3 seconds pass at the agent
    And the instance states 1 requests in its health response
    And 0.3 seconds pass at the agent
    And the instance states 0 requests in its health response
    Then no attempt has been cancelled

  Scenario: A call that is only slow causes few health requests
    Given calls to the instance take 0.1 seconds
    When the agent gets a call on agent stream 90 with 10 seconds left
    And the instance states 1 requests in each health response for 5 seconds
    Then the agent has asked the instance for its load 3 times
    And no attempt has been cancelled

  Scenario Outline: After calls that ended without a response, what can't be served is refused at once
    Guards against an estimate that never learns that calls are slow, and callers who wait until their deadline.
    Given calls to the instance take 0.01 seconds
    When <calls> calls with 0.8 seconds left end without a response, <reason>
    And 8 calls with 0.8 seconds left, who want their response in 0.4 seconds, arrive at once
    Then at least <refused> of them are refused at once, not run, with different times above 0

    Examples:
      | calls | reason                                       | refused |
      | 6     | as their connections were taken for lost     | 2       |
      | 6     | as their deadline passed                     | 2       |
      | 6     | as their callers had left                    | 2       |
      | 1     | as their connections were taken for lost     | 0       |

  Scenario: A new agent sends one call until it knows how many slots are taken
    Guards against requests that an instance full of a former agent's calls can't queue.
    Given a new agent with 3 slots beside an instance that states its load
    When the agent gets 3 calls with 10 seconds left
    Then the instance has received 1 requests
    When attempt 1 is answered after 0.1 seconds, stating 3 requests at the instance
    Then the instance has received 2 requests
    When attempt 2 is answered after 0.1 seconds, stating 0 requests at the instance
    Then the instance has received 3 requests
    When the agent gets 3 further calls with 10 seconds left
    Then the instance has received 5 requests

  Scenario: A new agent whose first call is lost sends another once that is overdue
    Given a new agent with 3 slots beside an instance that states its load
    When the agent gets 3 calls with 10 seconds left
    And 1.5 seconds pass at the agent
    Then the instance has received 1 requests
    When 0.2 seconds pass at the agent
    Then the instance has received 2 requests

  Scenario: A count of taken slots is not relied on for long without a response
    Guards against a queue that waits for ever beside an instance that stated all slots as taken.
    Given a new agent with 3 slots beside an instance that states its load
    When the agent gets 3 calls with 10 seconds left
    And attempt 1 is answered after 0.1 seconds, stating 9 requests at the instance
    Then the instance has received 1 requests
    When 0.6 seconds pass at the agent
    Then the instance has received 2 requests

  Scenario: An agent that has run for a while sends its first calls at once
    Guards against the first callers of a quiet instance waiting for one another.
    Given a new agent with 3 slots beside an instance that states its load
    When 3.1 seconds pass at the agent
    And the agent gets 3 calls with 10 seconds left
    Then the instance has received 3 requests

  Scenario: An instance without a load header gets calls in all slots after its first response
    Given a new agent with 3 slots beside an instance that states its load
    When the agent gets 3 calls with 10 seconds left
    And attempt 1 is answered after 0.1 seconds without a load header
    Then the instance has received 3 requests

  Scenario: Over real connections, the load is read and a lost connection is closed
    When a client talks to an instance that states its load and loses a request
    Then the response and the check tell the requests at the instance
    And the connection of the lost request is closed and counted

  Scenario Outline: The number of requests in a load header is read
    Then the load header "<header>" states <requests> requests

    Examples:
      | header    | requests |
      | 3,2,9     | 5        |
      | 0, 0, 1   | 0        |
      | 3         | no       |
      | 3,x,9     | no       |
      | 3,-1,9    | no       |
