Feature: The agent answers every call exactly once and reports correctly whether it ran

  Scenario: Each call is answered once, no attempt runs twice, and NOT RUN is accurate
    Then any sequence of calls gets one answer each, at most one attempt and a true outcome

  Scenario: A queued call whose deadline passes is refused at once
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the agent gets a call on agent stream 2 with 1 seconds left
    And the agent's clock moves to its next call deadline
    Then agent stream 2 has failed with deadline-too-short
    And the agent's back end received one request

  Scenario: A slot that frees after a queued call's deadline is not given to that call
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the agent gets a call on agent stream 2 with 1 seconds left
    And agent stream 1 is answered 2 seconds later, before the agent's timer fires
    Then agent stream 2 has failed with deadline-too-short
    And the agent's back end received one request

  Scenario: A call for another incarnation is not run
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 for incarnation 6
    Then agent stream 1 has failed with wrong-incarnation
    And the agent's back end received no request

  Scenario: An attempt that arrives twice runs once
    Given an agent of incarnation 7 with 2 slots and a proxy
    When the agent gets the same attempt on agent streams 1 and 2
    Then the agent's back end received one request
    And agent stream 2 has failed with outcome-unknown

  Scenario: A queued call is removed from the queue when it is cancelled
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the agent gets a call on agent stream 2 with 10 seconds left
    And the proxy sends a cancel for agent stream 2
    Then agent stream 2 has failed with deadline-too-short
    And the failure of agent stream 2 has a retry-after time
    When the agent's back end answers agent stream 1
    Then the agent's back end received one request

  Scenario: A running call is cancelled at the back end
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the proxy sends a cancel for agent stream 1
    Then the attempt of agent stream 1 is cancelled at the back end
    And its slot is busy until the request to the back end has ended
    And agent stream 1 has failed with cancelled

  Scenario: A running call that is cancelled before a byte was sent is reported as not run
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the proxy sends a cancel for agent stream 1
    And its attempt fails with cancelled and no bytes sent
    Then agent stream 1 has failed with deadline-too-short
    And the failure of agent stream 1 has a retry-after time

  Scenario: A response that crosses the cancel is still forwarded
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the proxy sends a cancel for agent stream 1
    And the agent's back end answers agent stream 1
    Then agent stream 1 has its answer

  Scenario: A queued call is refused once it can no longer finish before its deadline
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And agent stream 1 is answered 2 seconds later, before the agent's timer fires
    And the agent gets a call on agent stream 2 with 10 seconds left
    And the agent gets a call on agent stream 3 with 8 seconds left
    And 5.9 seconds pass at the agent
    Then no failure was sent on agent stream 3
    When 0.2 seconds pass at the agent
    Then agent stream 3 has failed with deadline-too-short
    And the agent's back end received 2 requests

  Scenario: Credit for a body is granted when its call can be queued
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets the head of a call with 2 seconds left on agent stream 1, its body to follow
    Then the agent gave credit on agent stream 1
    When the body of agent stream 1 follows
    Then the agent's back end received one request

  Scenario: A call that would wait too long is refused before its body is sent
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And agent stream 1 is answered 2 seconds later, before the agent's timer fires
    And the agent gets a call on agent stream 2 with 10 seconds left
    And the agent gets the head of a call with 2 seconds left on agent stream 3, its body to follow
    Then agent stream 3 has failed with deadline-too-short
    And the agent gave no credit

  Scenario: A conditional cancel does not affect a call that was started
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the agent gets a call on agent stream 2 with 10 seconds left
    And the proxy sends a cancel for agent stream 1 unless it was started
    And the proxy sends a cancel for agent stream 2 unless it was started
    Then agent stream 2 has failed with deadline-too-short
    When the agent's back end answers agent stream 1
    Then agent stream 1 has its answer

  Scenario: Only at-most-once attempts keep running after their proxy has disconnected
    Given an agent of incarnation 7 with 2 slots and a proxy
    When the agent gets a repeatable call on agent stream 1 and an at-most-once call on agent stream 2
    And the agent gets a call on agent stream 3 with 10 seconds left
    And the agent's connection to its proxy closes
    Then only the attempt of agent stream 1 is cancelled
    And no call waits at the agent

  Scenario Outline: A failed attempt is reported with an accurate error kind
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And its attempt fails with <failure> and <sent> bytes sent
    Then agent stream 1 has failed with <answer>

    Examples:
      | failure           | sent | answer            |
      | backend-failed    | no   | connection-failed |
      | deadline-exceeded | no   | connection-failed |
      | backend-failed    | some | backend-failed    |
      | connection-failed | some | backend-failed    |
      | deadline-exceeded | some | deadline-exceeded |

  Scenario: A body in parts is assembled, and refused if it exceeds the limit
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a body of 3 parts of 100000 bytes on agent stream 1
    Then the attempt of agent stream 1 carries 300000 bytes
    When the agent gets a body of 50 parts of 100000 bytes on agent stream 2
    Then agent stream 2 has failed with body-too-large

  Scenario: A large response is sent as the proxy grants credit
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the agent's back end answers agent stream 1 with 700000 bytes
    Then agent stream 1 has received 524288 of these bytes
    When the proxy gives the agent credit for 100000 bytes on agent stream 1
    Then agent stream 1 has received 624288 of these bytes
    When the proxy gives the agent credit for 100000 bytes on agent stream 1
    Then agent stream 1 has received 700000 bytes in order

  Scenario: Responses that a proxy does not read are bounded and dropped at the deadline
    Given an agent of incarnation 7 with 3 slots and a proxy
    When the agent gets 3 calls with 10 seconds left and answers of 8000000 bytes
    Then agent stream 3 has failed with backend-failed
    When the agent is asked to drain
    And 5 seconds pass at the agent
    Then the agent's drain has not finished
    When 6 seconds pass at the agent
    Then agent stream 1 has failed with deadline-exceeded
    And the drain has finished with 0 calls cancelled
