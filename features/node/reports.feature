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

  Scenario: An agent takes the configuration and the relays from the proxy of its process
    Given an agent without a subscription of its own, registered at "10.0.0.1"
    When its process shares a configuration with a largest body of 100 bytes
    Then a call with a body of 101 bytes is refused there, and one of 100 is not
    When its process shares relays of which "10.0.0.2" is preferred
    Then the agent registers at "10.0.0.2"
    And it has never subscribed
