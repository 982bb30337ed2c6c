Feature: What an earlier build wrote is read, and what it would misread it refuses

  features/data/level_0 holds frames and a data folder written by a build that states no feature
  level; features/data/level_0/write.py makes them with that build's code.

  Scenario: Frames of a build of level 0
    Then the frames of level 0 are read as they were written
    And the hello and the join request among them state level 0

  Scenario: A data folder of a build of level 0
    Given a copy of the data folder of level 0
    When this build starts a source on it
    Then every resource that was written there is held
    And a request that was answered there is answered alike
    And a zone drain is accepted once the member's level is in the log

  Scenario Outline: A data folder with a zone drain is refused by a build that knows of no levels
    Given a copy of the data folder of level 0
    When this build starts a source on it
    And it writes a zone drain, and snapshots every <entries> entries
    Then the folder's identity file is one that an earlier build refuses
    And this build starts from the folder with the zone drain

    Examples:
      | entries |
      | 1       |
      | 4096    |

  Scenario: A data folder without a zone drain stays readable for a build that knows of no levels
    Given a copy of the data folder of level 0
    When this build starts a source on it
    Then the folder's identity file is the one that the earlier build wrote
