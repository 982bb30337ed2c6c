Feature: The demonstration fails when anything that must hold did not
  Its exit status is what a newcomer and a script go by.

  Scenario: Everything held
    Given a demonstration of one deployment in which everything held
    Then the demonstration's exit status is 0
    And its table says "held"

  Scenario Outline: <what> fails the demonstration
    Given a demonstration of one deployment in which everything held
    But <what> was found
    Then the demonstration's exit status is 1
    And its table says "FAILED on koszyk: <check>"

    Examples:
      | what                          | check                            |
      | a lost call                  | no call lost                     |
      | an answered call without run | no call lost                     |
      | a call run twice             | no call run twice                |
      | a refused call that ran      | no refused call was run          |
      | a foreign answer             | answers belong to their calls    |
      | a version that went back     | no version went back             |
      | slow convergence             | changes in force within seconds  |
      | a cut attempt                | planned stops cut off no call    |
      | a stop with status 1         | planned stops exit 0             |
      | no answered call             | calls were answered              |

  Scenario: A deployment without a result fails the demonstration
    Given a demonstration of one deployment in which everything held
    But another deployment gave no result
    Then the demonstration's exit status is 1
