Feature: Commands that drain zones

  Scenario: A drain is ordered, listed with who follows it, and withdrawn
    Given a source that the command line reaches
    When the operator runs "zone list"
    Then the command ends with 0 and prints "no zone is drained"
    When the operator runs "zone drain lodz-a"
    Then the command ends with 0 and prints "create    zone-drain/lodz-a"
    When the operator runs "zone list"
    Then the command ends with 0 and prints "lodz-a: drained by writer at 20"
    And the command also prints "version 6: lagging"
    When the operator runs "zone list --json"
    Then the command ends with 0 and prints ""ordered_by": "writer""
    And the command also prints ""in_force": 2"
    When the operator runs "zone undrain lodz-a"
    Then the command ends with 0 and prints "delete    zone-drain/lodz-a"
    When the operator runs "zone list"
    Then the command ends with 0 and prints "no zone is drained"

  Scenario: An order that is in effect already is accepted without a write
    Given a source that the command line reaches
    When the operator runs "zone undrain lodz-a"
    Then the command ends with 0 and prints "nothing to do: lodz-a is not drained"
    When the operator runs "zone drain lodz-a"
    And the operator runs "zone drain lodz-a"
    Then the command ends with 0 and prints "nothing to do: lodz-a is drained since version 6"
    And the source applied 1 batches

  Scenario: A name that no zone can have is refused
    Given a source that the command line reaches
    When the operator runs "zone drain lodz/a"
    Then the command ends with 1 and prints "visible ASCII without /"

  Scenario: A withdrawal that comes second to another one is accepted
    Given a source whose drain of "lodz-a" another operator withdraws just before each deletion
    When the operator runs "zone undrain lodz-a"
    Then the command ends with 0 and prints "nothing to do: lodz-a is not drained"
