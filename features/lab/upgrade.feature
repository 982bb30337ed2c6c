Feature: The laboratory replaces the build of a fleet

  Scenario: The code of a commit is taken from a worktree that is removed afterwards
    When the laboratory takes the code of the present commit
    Then a process with that code imports the modules of that worktree
    And the worktree is gone afterwards

  Scenario: Snapshots are counted over the ends and starts of publishers
    Given publishers that have sent 3 and 2 snapshots
    When the first is counted, ends, and sends 1 more after its start
    Then 6 snapshots are counted in all

  # Guards against settings that name keys of this build, which an earlier one refuses.
  Scenario: Settings of a fleet hold no key at its default
    When the laboratory writes the settings of a fleet's processes
    Then none of them names a region or zones, and the services are there

  # Guards against a check that passes whatever the fleet does.
  Scenario Outline: An order to drain a zone, checked
    Given a fleet whose operators see <answer> to a drain and whose drained zone <runs>
    When the laboratory checks <what>
    Then the check ends with <end>

    Examples:
      | answer                | runs           | what      | end                               |
      | "feature-unavailable" | is not called  | a refusal | nothing                           |
      | "accepted"            | is not called  | a refusal | "a drain was accepted"            |
      | "invalid-request"     | is not called  | a refusal | "not refused by its level"        |
      | "accepted"            | is not called  | a drain   | nothing                           |
      | "accepted"            | is called      | a drain   | "calls ran in the drained zone"   |
      | "feature-unavailable" | is not called  | a drain   | "zone drain was refused"          |
