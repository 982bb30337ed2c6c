@fleet
Feature: A node that starts beside a running instance serves before the instance reports itself

  Scenario: The instance is asked who it is
    Given a control process and a node of the platform beside a back end with 1 slot
    When the platform's configuration is put and the back end reports itself
    Then a request through the node is answered by the back end, with the caller's service told
    When the node is killed and started again, and the back end reports nothing
    Then a request through the node is answered by the back end, with the caller's service told

  Scenario Outline: An answer to a health probe <what> <names>
    Then a health answer <what> <names>

    Examples:
      | what                               | names                  |
      | with id and load                   | names i-1 with 8 slots |
      | with an id alone                   | names i-1 with 0 slots |
      | with a load that is no list        | names i-1 with 0 slots |
      | with id and load, but not well     | names nobody           |
      | without an id                      | names nobody           |
