Feature: What a process has read from a data folder is there after a loss of power

  # Guards against a vote that is given on the word of a file which a loss of power takes back.
  Scenario Outline: A process is killed while it writes, is started again, and power is lost
    Then what is read after a kill at any call of <batch> is there after a loss of power

    Examples: Writes
      | batch                        |
      | one append                   |
      | a file                       |
      | a file, then a reset         |
      | a truncation, then an append |
