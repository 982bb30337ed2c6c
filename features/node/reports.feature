Feature: A node follows the instance beside it by the instance's own reports

  Scenario: Reports in any order start an instance once and let it leave once
    Given any order of reports, an instance starts once and never comes back once it left

  Scenario: A late report of an instance that is gone revives nothing
    Given an instance "one" that another, "two", has taken the place of
    When a late report of "one" comes
    Then nothing follows from it

  Scenario: A draining report is heeded however late it is
    Given an instance "one" whose report 9 has come
    When its report 3 says that it leaves
    Then the instance leaves

  Scenario: An instance that ends without a word before leaves at once
    Given an instance "one" whose report 9 has come
    When it says that it ends
    Then the instance leaves
    When a late report of "one" comes
    Then nothing follows from it

  Scenario: An agent whose back end is gone answers what runs and takes nothing more
    Given an agent with calls running and waiting
    When the agent's back end is gone
    Then those that ran have an unknown outcome, those that waited were not run
    And the agent has nothing more to do
