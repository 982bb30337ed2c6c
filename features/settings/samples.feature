Feature: The samples show every key, and all of them are sound

  Scenario Outline: A role's sample
    Then the sample of <role> is sound
    And the sample of <role> is sound with its commented keys switched on
    And the sample of <role> shows every key that the role knows, and no other
    And the commented keys of the sample of <role> show the defaults

    Examples:
      | role   |
      | source |
      | relay  |
      | proxy  |
      | agent  |
      | node   |
      | control |

  Scenario Outline: Every key is checked for its type and its range
    Then each key of <role> refuses a value of another type by its name
    And each key of <role> with a range takes its bounds and refuses what lies beyond them

    Examples:
      | role   |
      | source |
      | relay  |
      | proxy  |
      | agent  |
      | node   |
      | control |

  Scenario Outline: A deployment's sample
    Then the deployment <name> has the zones <zones>
    And the deployment <name> has the services <services>
    And the deployment <name> is <between_zones_ms> ms between zones and <to_clients_ms> ms to clients
    And the resources of <name> serve every call of the deployment

    Examples:
      | name    | zones                                        | services                | between_zones_ms | to_clients_ms |
      | koszyk  | lodz-a, lodz-b, warsaw-north, warsaw-south   | 7 order, 5 catalogue    | 0.5              | 3.0           |
      | results | hall-a, hall-b, hall-c, hall-d               | 7 results, 5 archive    | 1.5              | 8.0           |
