Feature: The agent asks for bodies in parts, so that its machine's link stays free for short calls

  Scenario Outline: A short call waits for a few parts at most, however many bodies come
    Given bodies that take <part> percent of a link of <rate> bytes a second
    When they are sent by credit, 99 in 100 short calls pass within 60 ms
    And when they are pushed, they take more than 300 ms

    Examples:
      | part | rate   |
      | 50   | 262500 |
      | 80   | 262500 |
      | 95   | 262500 |
      | 50   | 487500 |
      | 80   | 487500 |
      | 95   | 487500 |

  Scenario: Whatever the order of events, no more is asked for than keeps the link busy
    Then any bodies are asked for whole, once, and never more than three parts at a time

  Scenario: A sender that falls silent keeps no other waiting
    Given a credit of a link of 262500 bytes a second
    And body 1 of 20000 bytes and body 2 of 30000 bytes
    Then body 1 is asked for first
    When nothing comes for 0.3 seconds
    Then body 2 is asked for
    When nothing comes for 0.3 seconds
    Then the credit wants no timer that has passed

  Scenario: A link of unknown rate is not paced
    Given a credit of a link of 0 bytes a second
    And body 1 of 20000 bytes and body 2 of 30000 bytes
    Then both bodies are asked for whole
    And a body of 1000000 bytes is expected in 0 ms

  Scenario: The time of a body counts the shorter ones before it
    Given a credit of a link of 100000 bytes a second
    And body 1 of 20000 bytes and body 2 of 90000 bytes
    Then a body of 50000 bytes is expected in 700 ms

  Scenario: An upload that the link can't bring in time is refused before its body
    Given an agent on a link of 10000 bytes a second and a proxy
    When the agent gets the head of a call on agent stream 1 with a body of 5000 bytes and 1500 ms to its target
    Then the agent gave credit on agent stream 1
    When the agent gets the head of a call on agent stream 2 with a body of 9000 bytes and 1500 ms to its target
    Then agent stream 2 has failed with deadline-too-short
    And the failure of agent stream 2 has a retry-after time

  Scenario: A body that is here at once is not refused where a slot is free, however slow the back end was
    Given an agent on a link of 125000000 bytes a second and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And agent stream 1 is answered 10 seconds later, before the agent's timer fires
    And the agent gets the head of a call on agent stream 2 with a body of 20000 bytes and 1000 ms to its target
    Then the agent gave credit on agent stream 2

  Scenario: A body that was asked for is not refused when it comes
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And agent stream 1 is answered 2 seconds later, before the agent's timer fires
    And the agent gets the head of a call on agent stream 2 with a body of 9000 bytes and 8000 ms to its target
    And the agent gets a call on agent stream 3 with 10 seconds left
    And the agent gets a call on agent stream 4 with 10 seconds left
    And the body of agent stream 2 follows
    Then agent stream 2 has not failed

  Scenario: A body over the limit is refused by its head
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets the head of a call on agent stream 1 with a body of 90000000 bytes and 0 ms to its target
    Then agent stream 1 has failed with body-too-large
