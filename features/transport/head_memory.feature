Feature: The heads of a listener's requests share a limit on memory

  Scenario: A large head that is not whole makes room for another
    Given a listener with memory for one head of 400 short fields
    When a client sends such a head but for its end, and then another client a whole one
    Then the first client is refused with 503, and the second is served

  Scenario: A request that has begun keeps its memory
    Given a listener with memory for one head of 400 short fields
    When a client sends such a head, and another client a second one before the response
    Then the first client is served, and the second is refused with 503

  Scenario: Small heads are read beside a large one that fills the memory
    Given a listener with memory for one head of 400 short fields
    When a client sends such a head but for its end, and then another client a small one
    Then the second client is served, and the first may still end its head

  Scenario: An idle listener reads a head that is larger than its memory
    Given a listener with memory for one head of 400 short fields
    When a client sends a head of 2000 short fields
    Then it is served, and no memory for heads is held

  Scenario: Heads that one connection sends one behind the other share the memory as well
    Given a listener with memory for one head of 400 short fields
    When a client sends such a head, and a second one on the same connection
    Then its first request is served, and its second refused with 503

  # Guards against thousands of calls that are begun for a few receives of small requests.
  Scenario: Small requests that are sent behind others take the memory of the calls that they become
    Given a listener with memory for one head of 400 short fields
    When a client sends 200 small requests in one piece
    Then its first requests are served, and one behind them refused with 503, before 20 are begun
    And no memory for heads is held
