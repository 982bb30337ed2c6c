Feature: The soak's checks of drains and warm-ups find what is broken
  # Guards against checks that pass whatever happens: requests here have a known verdict. Times are seconds after the
  # acknowledgement of the drain; its withdrawal was sent after 20 s.

  Scenario Outline: A back end of the drained zone gets a request
    Given a zone that is drained
    When its node is struck <struck>, and its back end gets a request after <at> s
    Then the check of the drain says <verdict>

    Examples:
      | struck             | at   | verdict                |
      | never              | 4.9  | nothing                |
      | never              | 5.1  | "got requests after"   |
      | never              | 20.1 | nothing                |
      | from 6 s to 8 s    | 7.0  | nothing                |
      | from 6 s to 8 s    | 12.9 | nothing                |
      | from 6 s to 8 s    | 13.1 | "got requests after"   |
      | from 6 s to 8 s    | 5.5  | "got requests after"   |

  Scenario Outline: Callers in the drained zone
    Given a zone that is drained
    When its callers send <count> requests, answered <status>, with the other zone's node <other>
    Then the check of the drain says <verdict>

    Examples:
      | count | status | other  | verdict         |
      | 10    | 503    | calm   | "served none"   |
      | 9     | 503    | calm   | nothing         |
      | 10    | 200    | calm   | nothing         |
      | 10    | 503    | struck | nothing         |

  Scenario Outline: A back end that is cold counts requests
    Given a back end that is cold for 6 s
    When <count> requests come to it within <seconds> s, the first after <at> s
    Then the check of the warm-up says <verdict>

    Examples:
      | count | seconds | at  | verdict                 |
      | 11    | 0.9     | 0.0 | nothing                 |
      | 12    | 0.9     | 0.0 | "12 requests in 1 s"    |
      | 12    | 0.9     | 4.5 | "12 requests in 1 s"    |
      | 12    | 0.9     | 5.5 | nothing                 |
      | 14    | 2.0     | 0.0 | nothing                 |
