Feature: The checkers see each kind of broken rule

  Scenario Outline: A holder that breaks a rule is found
    Given the history of a service, a secret and a route that needs both
    When a proxy holds <what>
    Then the findings are "<rule>"

    Examples:
      | what                               | rule                                |
      | the latest version                 |                                     |
      | an older version after a newer one | version-order                       |
      | a route without its service        | dangling-reference,partial-version  |
      | a secret that no route of it needs | secret-out-of-scope                 |
      | half of a version                  | partial-version                     |

  Scenario: Two winners of one race are found
    Given the history of a service, a secret and a route that needs both
    When two batches with expected version 1 are accepted
    Then the findings are "two-winners"

  Scenario: A proxy that stays behind is found
    Given the history of a service, a secret and a route that needs both
    When a proxy holds nothing
    Then the findings are "not-in-force"

  Scenario Outline: A holder that takes itself for current is found when it is not
    Given the history of a service, a secret and a route that needs both
    When a proxy at version <version> believes itself current at second <second>
    Then the findings are "<rule>"

    Examples:
      | version | second | rule            |
      | 1       | 1.5    |                 |
      | 1       | 2.5    | false-freshness |
      | 4       | 2.5    |                 |
      | 5       | 2.5    |                 |

  Scenario Outline: An operator's read that breaks a rule is found
    Given the history of a service, a secret and a route that needs both
    When an operator reads <what> after version 4 was answered
    Then the findings are "<rule>"

    Examples:
      | what                  | rule         |
      | version 4             |              |
      | version 1             | stale-read   |
      | version 4 with values | secret-shown |

  Scenario Outline: A proxy that a change reaches late is found
    Given the history of a service, a secret and a route that needs both
    When both versions reach a proxy <delay> seconds late with a limit of 5 seconds
    Then the findings are "<rule>"

    Examples:
      | delay | rule           |
      | 4     |                |
      | 6     | stale-too-long |

  Scenario: A proxy that a change never reaches is found
    Given the history of a service, a secret and a route that needs both
    When no version reaches a proxy within a limit of 5 seconds
    Then the findings are "stale-too-long"

  Scenario Outline: A call that breaks a rule is found
    When a call <what>
    Then the findings are "<rule>"

    Examples:
      | what                                      | rule               |
      | runs once and is answered                 |                    |
      | is answered with another call's payload   | wrong-answer       |
      | is answered twice                         | second-answer      |
      | is never answered                         | no-answer          |
      | runs twice under one key                  | second-run         |
      | is answered without having run            | lost-run           |
      | runs and is refused as not run            | ran-after-refusal  |
      | is refused as not run and runs afterwards | ran-after-refusal  |
      | begins long after its back end left       | work-after-leaving |
