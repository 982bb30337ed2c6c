Feature: The soak's checks of keys and limits find what is broken
  The platform's soak judges requests by the keys that its configurations held. Here are requests whose verdict is known.

  Scenario Outline: A request and what its instance was told
    Given the tenants of the soak
    When a <kind> with <key> is answered <status>, and ran <told>
    Then the audit says <verdict>

    Examples:
      | kind  | key                   | status | told                          | verdict                          |
      | read  | "harbour"'s key       | 200    | for "harbour"                 | nothing                          |
      | write | "harbour"'s key       | 200    | for "harbour"                 | nothing                          |
      | read  | "harbour"'s key       | 200    | for "quay"                    | "the instance was told 'quay'"   |
      | read  | "harbour"'s key       | 200    | for ""                        | "the instance was told ''"       |
      | read  | "harbour"'s key       | 200    | for "harbour,forged"          | "the instance was told"          |
      | read  | "harbour"'s key       | 200    | for "harbour", with its key   | "the instance got a key"         |
      | read  | "harbour"'s key       | 401    | not                           | "was denied"                     |
      | write | "harbour"'s key       | 404    | not                           | "was denied"                     |
      | write | "harbour"'s key       | 429    | for "harbour"                 | "was refused as not run, and ran" |
      | read  | an unknown key        | 401    | not                           | nothing                          |
      | read  | an unknown key        | 404    | not                           | "was denied"                     |
      | read  | an unknown key        | 401    | for "harbour"                 | "was denied, and ran"            |
      | read  | an unknown key        | 0      | for "harbour"                 | "no configuration held its key"  |
      | read  | no key                | 200    | for ""                        | "no configuration held its key"  |
      | read  | no key                | 401    | not                           | nothing                          |
      | read  | a key not yet given out | 0    | for "quay"                    | "no configuration held its key"  |
      | read  | a key taken away      | 401    | not                           | nothing                          |
      | read  | a key taken away      | 200    | for its tenant                | nothing                          |
      | read  | a key taken away      | 200    | for "rushed"                  | "the instance was told 'rushed'" |
      | open  | no key                | 200    | for ""                        | nothing                          |
      | open  | no key                | 401    | not                           | "was denied"                     |
      | open  | "harbour"'s key       | 200    | for "harbour"                 | "the instance was told 'harbour'" |
      | open  | "harbour"'s key       | 200    | for "", with its key          | "the instance got a key"         |

  Scenario Outline: A download is whole or it isn't
    Given the tenants of the soak
    When a download is answered with <part> of its bytes
    Then the audit says <verdict>

    Examples:
      | part | verdict                 |
      | all  | nothing                 |
      | half | "has another's answer" |

  Scenario Outline: Requests of the tenant with a limit, 26.6 in 5 s at most
    Given the tenants of the soak
    When <count> requests of the tenant with a limit ran within <seconds> s
    Then the audit says <verdict>

    Examples:
      | count | seconds | verdict        |
      | 26    | 4.9     | nothing        |
      | 27    | 4.9     | "ran in 5.0 s" |
      | 27    | 5.3     | nothing        |

  Scenario: A log that shows a key
    Given the tenants of the soak
    Then a log that holds one of their keys is named, and one without isn't
