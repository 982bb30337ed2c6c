Feature: Subscribers of a zone meet at one relay

  Background:
    Given a mesh of the relays "relay-1" and "relay-2"
    And the relays have heard of each other

  Scenario: A subscriber goes over to the relay of its zone
    Given a proxy "away" of zone "zone-b" that begins at "relay-1"
    And a proxy "at-home" of zone "zone-a" that begins at "relay-1"
    When 6 seconds pass at the relays
    Then the proxy "away" follows "relay-2"
    And the proxy "at-home" follows "relay-1"

  Scenario: Subscribers of a zone without a relay meet all the same
    Given 6 proxies of zone "zone-c", half of which begin at each relay
    When 8 seconds pass at the relays
    Then they all follow one relay

  Scenario: While its relay is down a subscriber follows another, and goes back
    Given a proxy "away" of zone "zone-b" that begins at "relay-2"
    When 2 seconds pass at the relays
    And the relay "relay-2" is down for 20 seconds
    Then the proxy "away" has followed "relay-1"
    When 20 seconds pass at the relays
    Then the proxy "away" follows "relay-2"

  Scenario Outline: A relay that says nothing more is left within <limit> seconds
    Given a proxy "hasty" of zone "zone-a" that begins at "relay-1" and finds it stale after 5 seconds
    When 3 seconds pass at the relays
    And the proxy "hasty" and "relay-1" are cut from each other without a word
    And <limit> seconds pass at the relays
    Then the proxy "hasty" follows "relay-2"

    Examples:
      | limit |
      | 1.7   |

  Scenario: A candidate that is not current yet is asked again, not dropped
    Given a search that has opened a link to a candidate
    When the candidate answers that it is not current
    Then the search asks the candidate again after 0.1 seconds
    When the candidate answers that it is current
    Then the candidate is better
    Given a search that has opened a link to a candidate
    When the candidate answers for 1 seconds that it is not current
    Then the search has given the candidate up

  Scenario: Which relay is preferred
    Then for any relays and zones the preferred one is of the own zone if there is one, whatever the order
    And of many zones without a relay no relay has more than twice its part
