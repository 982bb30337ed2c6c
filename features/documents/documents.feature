Feature: The documents say what the code does, and lead where they say

  Scenario: Links
    Then every relative link in the documents leads to a file
    And every document is reached from the README by links

  Scenario: Log events
    Then the page of events is what the laboratory prints
    And the page of events has every event that the code defines

  Scenario: Settings
    Then the settings page shows every key with its type, default and range

  Scenario: Commands
    Then every command of limelever has help with an example
    And every command of limelever and of its laboratory is named in a document
    And every command line in the documents uses commands and options that exist
    And the commands of the README are targets of the Makefile

  Scenario: Design notes
    Then the index of design notes names every note, each with its decision

  Scenario: Nothing of one machine
    Then no file names a path of one machine
    And no file names a host but loopback and example ones

  Scenario: The users' words stand in the glossary with ours
    Then the glossary maps each of these words to one of ours
      | word                    |
      | group                   |
      | fair share              |
      | back end                |
      | endpoint                |
      | service                 |
      | route                   |
      | secret                  |
      | proxy                   |
      | operator                |
      | remote procedure calls  |
      | source of configuration |
      | readers of the source   |
      | configuration version   |
      | change                  |
      | resend                  |
      | in force                |
      | convergence time        |
      | control bytes           |
      | refusal                 |
      | may be repeated         |
      | at most once            |
      | leaving back end        |
      | planned stop            |
      | cold start              |
      | shed load               |
      | live and leaving        |
      | cut off                 |
      | reconnect storm         |
      | lost machine            |
      | beside each back end    |
      | slots                   |
      | order placement         |
      | certification           |
      | stock lookups           |
      | standings               |
