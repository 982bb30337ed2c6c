Feature: The agent requests bodies in chunks, so that its link stays available for short calls

  Scenario Outline: A short call waits for a few chunks at most at any demand for bodies
    Given bodies with a demand of <percent> percent of a link of <rate> bytes a second
    When they are sent by credit, the p99 latency of short calls is at most 60 ms
    And they are sent without credit, the p99 latency of short calls is more than 300 ms

    Examples:
      | percent | rate   |
      | 50      | 262500 |
      | 80      | 262500 |
      | 95      | 262500 |
      | 50      | 487500 |
      | 80      | 487500 |
      | 95      | 487500 |

  Scenario: In any order of arrivals, no more is requested than keeps the link busy
    Then any bodies are requested completely, once, with at most three chunks in flight

  Scenario: A stalled sender does not block others
    Given a credit scheduler for a link of 262500 bytes a second
    And body 1 of 20000 bytes and body 2 of 30000 bytes
    Then body 1 is requested first
    When nothing arrives for 0.3 seconds
    Then body 2 is requested
    When nothing arrives for 0.3 seconds
    Then the credit scheduler sets no timer in the past

  Scenario: Bodies of usual size are requested at once on a link of unknown rate
    Given a credit scheduler for a link of 0 bytes a second
    And body 1 of 20000 bytes and body 2 of 30000 bytes
    Then both bodies are requested completely
    And a body of 1000000 bytes is expected in 0 ms

  Scenario: The transfer time of a body includes shorter ones before it
    Given a credit scheduler for a link of 100000 bytes a second
    And body 1 of 20000 bytes and body 2 of 90000 bytes
    Then a body of 50000 bytes is expected in 700 ms

  Scenario: An upload that the link cannot transfer in time is refused before its body
    Given an agent on a link of 10000 bytes a second and a proxy
    When the agent gets the head of a call on agent stream 1 with a body of 5000 bytes and 1500 ms to its target
    Then the agent gave credit on agent stream 1
    When the agent gets the head of a call on agent stream 2 with a body of 9000 bytes and 1500 ms to its target
    Then agent stream 2 has failed with deadline-too-short
    And the failure of agent stream 2 has a retry-after time

  Scenario: A short transfer is not refused while a slot is free, even after slow calls
    Given an agent on a link of 125000000 bytes a second and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And agent stream 1 is answered 10 seconds later, before the agent's timer fires
    And the agent gets the head of a call on agent stream 2 with a body of 20000 bytes and 1000 ms to its target
    Then the agent gave credit on agent stream 2

  Scenario: A body that was requested is not refused when it arrives
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And agent stream 1 is answered 2 seconds later, before the agent's timer fires
    And the agent gets the head of a call on agent stream 2 with a body of 9000 bytes and 8000 ms to its target
    And the agent gets a call on agent stream 3 with 10 seconds left
    And the agent gets a call on agent stream 4 with 10 seconds left
    And the body of agent stream 2 follows
    Then agent stream 2 has not failed

  Scenario: A body over the limit is refused by its announced size
    Given an agent of incarnation 7 with 1 slots and a proxy
    When the agent gets the head of a call on agent stream 1 with a body of 90000000 bytes and 0 ms to its target
    Then agent stream 1 has failed with body-too-large
