Feature: Long responses are paced so that short ones are not delayed on the same link

  # Guards against long responses that delay short ones, and that are all late once demand exceeds
  # the link rate.

  Scenario Outline: Short responses wait for at most two chunks at any demand
    Given long responses with a demand of <percent> percent of a link of <rate> bytes a second
    When they are paced, the p99 latency of short responses is at most 50 ms
    And they are not paced, the p99 latency of short responses is more than 300 ms

    Examples:
      | percent | rate   |
      | 80      | 750000 |
      | 95      | 750000 |
      | 120     | 750000 |
      | 80      | 262500 |
      | 120     | 262500 |

  Scenario Outline: Demand beyond the link rate is refused, and the rest meets its target
    Given long responses with a demand of <percent> percent of a link of 750000 bytes a second
    When they are paced, at least <least> percent of the admitted calls meet their target
    And more of all calls meet their target than without pacing, and 80 percent of those the link can carry

    Examples:
      | percent | least |
      | 80      | 90    |
      | 95      | 90    |
      | 120     | 90    |

  # The load of a machine that serves one ninth of 86 downloads a second, beside lookups of 80 ms that
  # have 378 ms to their target. Guards against downloads that delay lookups or are late together.
  Scenario: Downloads of nearly a whole small link leave its lookups in time
    Given downloads of 90000 bytes, 9.55 a second, on a link of 875000 bytes a second, with 260 ms of work and 1231 ms to their targets
    And 40 lookups a second on the same link
    When they are paced, the p99 latency of short responses is at most 50 ms
    And they are paced, at least 95 percent of the admitted calls meet their target
    And more of all calls meet their target than without pacing, and 80 percent of those the link can carry
    And a lookup of 80 ms of work is admitted at any backlog of downloads

  Scenario: Each response is sent completely, once, and no faster than the link rate
    Then any responses are sent completely, once, with at most two chunks queued on the link

  Scenario: The response with the earliest target is sent first, and late ones last
    Given a response pacer for a link of 100000 bytes a second
    And responses 1, 2 and 3 of 20000 bytes with 5, 2 and -1 seconds to their targets
    Then they complete in the order 2, 1, 3

  Scenario: A response without credit does not block others
    Given a response pacer for a link of 100000 bytes a second
    And response 1 of 20000 bytes with credit for 5000, and response 2 of 20000 bytes
    Then response 2 completes, and response 1 has 15000 unsent bytes
    When response 1 gets credit for 15000 more bytes
    Then response 1 completes

  Scenario: On a link of unknown rate nothing is refused or paced
    Given a response pacer for a link of 0 bytes a second
    Then no response is paced, and a call with 1 ms to its target is admitted after 50 long ones

  Scenario: An agent paces a long response's body and sends a short response immediately
    Given an agent on a link of 100000 bytes a second and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the back end answers agent stream 1 with 30000 bytes
    Then the proxy has the head of agent stream 1 and less than 6000 bytes of its body
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the back end answers agent stream 2 with 200 bytes
    Then the proxy has the complete response of agent stream 2, 200 bytes
    When the agent's clock advances by 0.5 seconds
    Then the proxy has the complete response of agent stream 1, 30000 bytes

  Scenario: A call whose response does not fit on the link is refused before it runs
    Given an agent on a link of 100000 bytes a second and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the back end answers agent stream 1 with 90000 bytes
    And the agent gets a call on agent stream 2 with 1500 ms to its target
    Then agent stream 2 has failed with deadline-too-short
    And agent stream 2 was never sent to the back end
    And the proxy of agent stream 2 was told to retry after 400 to 600 ms
    When the agent's clock advances by 1.2 seconds
    And the agent gets a call on agent stream 3 with 1500 ms to its target
    Then agent stream 3 has not failed

  Scenario: A response cut off at its deadline ends as a failure, never as a complete response
    Given an agent on a link of 10000 bytes a second and a proxy
    When the agent gets a call on agent stream 1 with 2 seconds left
    And the back end answers agent stream 1 with 90000 bytes
    And the agent's clock advances by 3 seconds
    Then agent stream 1 has failed with deadline-exceeded
    And no chunk of agent stream 1 was marked as the last

  Scenario: A cancelled response uses no link capacity
    Given an agent on a link of 10000 bytes a second and a proxy
    When the agent gets a call on agent stream 1 with 10 seconds left
    And the back end answers agent stream 1 with 90000 bytes
    And the proxy cancels agent stream 1
    And the agent's clock advances by 5 seconds
    Then the agent sent less than 1000 bytes of agent stream 1
