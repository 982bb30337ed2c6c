Feature: The command line of operators

  Scenario: An operator's session
    Given a source that the command line reaches
    When the operator applies a file of resources
    Then the command ends with 0 and prints "applied: version 6"
    When the operator runs "get"
    Then the command ends with 0 and prints "route/orders@6"
    And the secret's value was never printed
    When the operator runs "delete service/orders"
    Then the command ends with 1 and prints "still-referenced"
    When the operator runs "rollout 6 --json"
    Then the command ends with 0 and prints ""lagging": 1"
    When the operator runs "rollout 6 --wait 0.1"
    Then the command ends with 1 and prints "lagging"
    When the operator runs "status --json"
    Then the command ends with 0 and prints ""role": "leader""

  Scenario Outline: A rollout counts connected readers, and those missing from an expected number
    Given a source whose <readers> connected readers all hold the version
    When the operator runs "rollout 6 --wait 0.1 --readers <expected>"
    Then the command ends with <status> and prints "<text>"

    Examples:
      | readers | expected | status | text                                 |
      | 3       | 0        | 0      | version 6: in force                  |
      | 3       | 3        | 0      | version 6: in force                  |
      | 3       | 4        | 1      | in force at 3 readers, 4 expected    |

  Scenario: A follower does not tell how far other members are
    Given a source whose follower is asked for its status
    When the operator runs "status"
    Then the command ends with 0 and prints "matched unknown"

  Scenario: Only a conflict names the version it met
    Given a source that the command line reaches
    When the operator applies a file of resources with "--expected-version 99 --json"
    Then the command ends with 1 and prints ""current_version": 0"
    When the operator applies a file of resources
    And the operator runs "delete service/orders --json"
    Then the command ends with 1 and prints ""current_version": null"

  Scenario: A dry run and an expected version
    Given a source that the command line reaches
    When the operator applies a file of resources with "--dry-run"
    Then the command ends with 0 and prints "create    route/orders"
    And the source applied 0 batches
    When the operator applies a file of resources with "--expected-version 99"
    Then the command ends with 1 and prints "current version: 0"

  Scenario: A lost answer is settled by a resend under the same request id
    Given a source that runs the first write and never answers it
    When the operator applies a file of resources
    Then the command ends with 0 and prints "applied before: version 6"
    And the source applied 1 batches

  Scenario: A follower names the leader
    Given a source whose follower names the leader
    When the operator applies a file of resources
    Then the command ends with 0 and prints "applied: version 6"

  # Guards against a write that is sent on to a member of an earlier build, whose refusal as malformed hides the reason.
  Scenario: A leader whose group reads too low a level is asked again
    Given a source whose leader refuses a feature and whose other replica finds the write malformed
    When the operator applies a file of resources with "--timeout 2"
    Then the command ends with 1 and prints "feature-unavailable"

  Scenario: A replica is reached at its IPv6 address
    Given a source that the command line reaches
    When the operator asks the source at "[::1]:9000" for its status
    Then the command ends with 0 and prints "role"
    And the connection went to the host "::1" and the calls to "[::1]:9000"

  Scenario: An outcome that stays unknown is said so, with the request id
    Given a source that never answers a write
    When the operator applies a file of resources with "--request-id abcdefgh@5 --timeout 1"
    Then the command ends with 1 and prints "--request-id abcdefgh@5"

  Scenario: A refusal at the door after a lost answer does not pass for not run
    Given a source that loses the first answer and then withdraws the credential
    When the operator applies a file of resources with "--request-id abcdefgh@5"
    Then the command ends with 1 and prints "outcome: unknown"
    And the command also prints "permission-denied"
    And the source applied 1 batches

  Scenario: The state machine's refusal settles a write whose first answer was lost
    Given a source that loses the first answer and then refuses as a conflict
    When the operator applies a file of resources with "--request-id abcdefgh@5"
    Then the command ends with 1 and prints "outcome: not-run"
    And the source was asked for 2 writes

  Scenario: A resend older than the kept answers is not sent on and on
    Given a source that no longer keeps the answer to a write
    When the operator applies a file of resources with "--request-id abcdefgh@5"
    Then the command ends with 1 and prints "outcome: unknown"
    And the command does not print "--request-id"
    And the source was asked for 1 writes

  Scenario: No source at all was surely not run
    Given no source at all
    When the operator applies a file of resources with "--timeout 0.5 --request-id abcdefgh@5"
    Then the command ends with 1 and prints "outcome: not-run"

  Scenario: All problems of a resource file are listed at once
    When the operator applies a file with wrong resources
    Then the command ends with 1 and prints "service[0].colour: unknown key"
    And the command also prints "route[0].call_kind"
    And the command also prints "share[0].weight: missing key"

  Scenario Outline: Wrong usage
    When the operator runs "<arguments>"
    Then the command ends with 2 and prints "<text>"

    Examples:
      | arguments                   | text         |
      | get                         | LIMELEVER    |
      | get nonsense --endpoint x:1 | KIND/NAME    |
      | apply                       | Missing      |
      | relay                       | --settings   |

  Scenario: The sample of a source's settings is sound
    When the operator checks the sample "source.toml-sample"
    Then the command ends with 0 and prints "sound, role source"

  Scenario: A settings file of no role
    When the operator checks settings of the role "cook"
    Then the command ends with 1 and prints "must be one of source, relay, proxy, agent"

  Scenario: Long-running roles don't pay for the operators' libraries
    Then starting a role imports neither grpc, typer nor rich

  Scenario: Tenants of a file go to the source as digests, and are shown without keys
    Given a source that the command line reaches
    When the operator applies a file with the tenant "north" and the keys "first-key second-key"
    Then the command ends with 0 and prints "tenant/north"
    When the operator runs "get"
    Then the command ends with 0 and prints "priority=1 rate_per_s=300.0 burst=2.5 keys=2"
    When the operator runs "get --json"
    Then the command ends with 0 and prints ""keys": 2"
    And neither a key nor a digest of "first-key second-key" was printed

  Scenario: A bad key in a file is refused without being repeated
    Given a source that the command line reaches
    When the operator applies a file with the tenant "north" and the keys "first-kêy"
    Then the command ends with 1 and prints "a key must be visible ASCII"
    And neither a key nor a digest of "first-kêy" was printed

  # Guards against a resource file that cannot state the limit of warming back ends.
  Scenario: The warm-up of a service goes to the source
    Given a source that the command line reaches
    When the operator applies a file with a service that warms up for 3000 ms at 3.2 calls a second
    Then the command ends with 0 and prints "service/stock"
    When the operator runs "get"
    Then the command ends with 0 and prints "warm_up_ms=3000 warm_up_calls_per_s=3.2"
