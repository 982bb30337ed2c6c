Feature: Model checking of the core protocol
  The specification of the core protocol is explored exhaustively up to its bounds.
  Every broken variant must be refuted, so that the check is known to see.

  Scenario Outline: The true protocol holds in every reachable state
    When the model "<model>" is checked
    Then it holds in every state explored
    And every situation the model must reach was reached

    Examples:
      | model           |
      | elections       |
      | commits         |
      | lost-disk       |
      | replacement     |
      | reader-floor    |
      | operator-writes |
      | claims          |

  Scenario Outline: A broken variant gives a counterexample
    When the model "<model>" is checked in the variant "<variant>"
    Then the invariant "<invariant>" is refuted by a counterexample

    Examples:
      | model           | variant                    | invariant                         |
      | elections       | vote-not-synced            | one leader a term                 |
      | elections       | vote-for-shorter-log       | leader holds what is committed    |
      | elections       | commit-earlier-term        | leader holds what is committed    |
      | commits         | entry-not-synced           | leader holds what is committed    |
      | lost-disk       | rejoin-same-identity       | one leader a term                 |
      | lost-disk       | learner-counts             | one leader a term                 |
      | lost-disk       | changes-overlap            | leader holds what is committed    |
      | replacement     | given-up-on-uncommitted    | a spent identity counts nowhere   |
      | replacement     | given-up-on-older-position | a spent identity counts nowhere   |
      | reader-floor    | reader-without-floor       | reader never goes back            |
      | reader-floor    | floor-not-synced           | reader never goes back            |
      | reader-floor    | installed-in-parts         | version held whole or not at all  |
      | operator-writes | no-request-record          | answers are true                  |
      | operator-writes | checked-at-proposal        | one winner a version              |
      | operator-writes | no-record-horizon          | a request is applied at most once |
      | claims          | grant-not-synced           | handed on at most once            |
      | claims          | rejoin-without-copy        | handed on at most once            |
      | claims          | rejoin-copies-one          | handed on at most once            |
      | claims          | rejoin-without-wait        | handed on at most once            |
      | claims          | released-after-hand-on     | handed on at most once            |
      | claims          | later-token-replaces       | handed on at most once            |

  Scenario: The examples name every model and every variant
    Then the examples of this feature name every model and every variant

  Scenario Outline: The command's exit code tells whether all came out as it must
    When check-model is run with "<arguments>"
    Then its exit code is <exit_code>

    Examples:
      | arguments                        | exit_code |
      | --variant vote-not-synced        | 0         |
      | --variant vote-not-synced --json | 0         |
      | --variant no-such-variant        | 2         |

  Scenario Outline: The command fails when the check does not come out as it must
    Given a model whose "<fault>"
    When check-model is run on that model
    Then its exit code is 1

    Examples:
      | fault                           |
      | true protocol has a violation   |
      | broken variant is not refuted   |
      | witness is never reached        |
      | state space exceeds the maximum |
