Feature: The soak's check of acknowledged leaves finds what is broken
  # Guards against a check that passes whatever happens. Times are seconds after the acknowledgement of the leave.

  Scenario Outline: A request reaches an instance that has left
    Given an instance whose leave was acknowledged at 0 s by "sidecar-1"
    When "<node>" is struck at <struck> s, and a request of "sidecar-2" reaches the instance at <at> s
    Then the check of the leave says <verdict>

    Examples:
      | node      | struck | at  | verdict                    |
      | none      | 0.0    | 1.9 | nothing                    |
      | none      | 0.0    | 2.1 | "2.10 s after its leave"   |
      | sidecar-1 | 0.3    | 3.2 | nothing                    |
      | sidecar-1 | 0.3    | 3.4 | "3.40 s after its leave"   |
      | sidecar-2 | 0.3    | 3.2 | nothing                    |
      | sidecar-3 | 0.3    | 3.2 | "3.20 s after its leave"   |

  Scenario Outline: A leave is not acknowledged
    Given an instance that says at 0 s that it leaves, which "sidecar-1", <state>, does not acknowledge
    When "<machine>" is struck at <struck> s
    Then the check of the acknowledgements says <verdict>

    Examples:
      | state     | machine   | struck | verdict            |
      | ready     | sidecar-2 | 0.0    | "not acknowledged" |
      | ready     | sidecar-1 | 0.5    | nothing            |
      | ready     | sidecar-1 | -3.5   | "not acknowledged" |
      | not ready | sidecar-1 | -3.5   | nothing            |
      | ready     | core-1    | -1.0   | nothing            |
