Feature: A data folder opens after any loss of power, with all that was synced

  # Guards against a replica that refuses its folder for ever after a loss of power.
  Scenario Outline: Whatever a loss of power leaves of unsynced writes, the folder opens
    Given a data folder that has synced 5 records, each by itself, and a file
    Then whatever a loss of power leaves of <batch>, all that was synced is given back

    Examples: Writes
      | batch                         |
      | one append                    |
      | one append of several records |
      | three appends                 |
      | a truncation, then an append  |
      | an append, a file, an append  |
      | a reset, then an append       |

  # Guards against bytes stated as synced before a cut that prove damage to what was written after it.
  Scenario Outline: What was stated as synced proves nothing once the log is cut or replaced
    Given a data folder that has synced 5 records, each by itself, and a file
    And the data folder states that all its records are synced
    Then whatever a loss of power leaves of <batch>, all that was synced is given back

    Examples: Writes
      | batch                            |
      | a truncation, then a long append |
      | a reset, then a long append      |

  # Guards against a recovery that a second loss of power turns into damage.
  Scenario: Power is lost in drawn writes, and again during the recovery
    Then drawn writes are given back up to a point after two losses of power, for seeds 0 to 299

  # Guards against a recovery that drops acknowledged records because their bytes are damaged.
  Scenario: Damage to what was synced before a later write is refused after a loss of power
    Given a data folder that has synced 6 records, each by itself, and a file
    When power is lost while a further record is written
    Then a flipped byte in any of its first 5 records is refused as damage

  Scenario: Damage to the last record is refused if no power was lost
    Given a data folder that has synced 6 records, each by itself, and a file
    When a data folder's process is killed after its last record was marked as synced
    Then a flipped byte in any of its first 6 records is refused as damage

  # Guards against an upgrade that can't be taken back, or whose records are lost by taking it back.
  Scenario: Builds without marks read records that have them, and write on behind them
    Given a data folder that has synced 3 records, each by itself, and a file
    Then a record with a mark is read as without it by a build that knows no marks
    When a build without marks writes 2 records to the data folder
    Then all 5 records are given back, also after a further one

  # Guards against damage that passes for unsynced writes in a folder of a build without marks.
  Scenario: Damage in a folder that only a build without marks has written is refused
    Given a data folder of a build without marks with 5 records and a file
    Then a flipped byte in any of its first 5 records is refused as damage

  # Guards against a whole data folder that is gone after the first loss of power.
  Scenario Outline: The folders that lead to a new data folder are synced before it takes a write
    Given a folder for data in which <made> is made by a process that ends before it opens it
    When a data folder is opened at a/b/replica
    Then each folder from <first> to it was synced once the next one was made

    Examples: Folders
      | made        | first |
      | nothing     | .     |
      | a           | a     |
      | a/b/replica | a/b   |
