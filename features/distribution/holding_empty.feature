Feature: A publisher that holds nothing yet lets its subscribers wait for a while

  Scenario: Those who wait are answered as soon as there is something
    Given a publisher that holds nothing and lets subscribers wait for 0.4 seconds
    When 3 subscribers come
    Then the publisher has answered none of them
    When the publisher is loaded 0.2 seconds later
    Then the publisher has sent each of them the configuration and admitted it

  Scenario: Those who have waited for long enough are sent away
    Given a publisher that holds nothing and lets subscribers wait for 0.4 seconds
    When 2 subscribers come
    And 0.4 seconds pass at the publisher that holds nothing
    Then the publisher has sent each of them away

  Scenario: Whoever has left is not answered
    Given a publisher that holds nothing and lets subscribers wait for 0.4 seconds
    When 2 subscribers come
    And the first of them leaves
    And the publisher is loaded 0.2 seconds later
    Then the publisher has answered the second one only

  Scenario: Without a time to wait all are sent away at once
    Given a publisher that holds nothing and lets subscribers wait for 0 seconds
    When 2 subscribers come
    Then the publisher has sent each of them away
