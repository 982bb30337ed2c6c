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

  # Guards against a recovery that a second loss of power turns into damage.
  Scenario: Power is lost in drawn writes, and again during the recovery
    Then drawn writes are given back up to a point after two losses of power, for seeds 0 to 299
