Feature: Subscribers of a zone follow the same relay
  Guards against configuration traffic between zones, and load that is spread unevenly over relays.

  Background:
    Given a mesh of the relays "relay-1" and "relay-2"
    And the relays know of each other

  Scenario: A subscriber moves to the relay of its zone
    Given a proxy "away" of zone "zone-b" that first dials "relay-1"
    And a proxy "at-home" of zone "zone-a" that first dials "relay-1"
    When 6 seconds pass at the relays
    Then the proxy "away" follows "relay-2"
    And the proxy "at-home" follows "relay-1"

  Scenario: Subscribers of a zone without a relay follow the same relay
    Given 6 proxies of zone "zone-c", half of which first dial each relay
    When 8 seconds pass at the relays
    Then they all follow the same relay

  Scenario: A subscriber follows another relay while its own is down, and returns afterwards
    Given a proxy "away" of zone "zone-b" that first dials "relay-2"
    When 2 seconds pass at the relays
    And the relay "relay-2" is down for 20 seconds
    Then the proxy "away" followed "relay-1" during the outage
    When 20 seconds pass at the relays
    Then the proxy "away" follows "relay-2"

  Scenario Outline: A relay that leaves probes unanswered is left within <limit> seconds, before it counts as stale
    Given a proxy "hasty" of zone "zone-a" that first dials "relay-1" and considers it stale after 5 seconds
    When 3 seconds pass at the relays
    And the link between the proxy "hasty" and "relay-1" is cut silently
    And <limit> seconds pass at the relays
    Then the proxy "hasty" follows "relay-2"

    Examples:
      | limit |
      | 1.7   |

  Scenario: A candidate that is not current yet is probed again before it is given up
    Given a search that has opened a link to a candidate
    When the candidate answers that it is not current
    Then the search asks the candidate again after 0.1 seconds
    When the candidate answers that it is current
    Then the candidate is accepted as better
    Given a search that has opened a link to a candidate
    When the candidate keeps answering for 1 seconds that it is not current
    Then the search has closed the link to the candidate

  Scenario: Relays are preferred by zone, and evenly by zones without a relay
    Then for random relays and zones a relay of the own zone is preferred if there is one, in any order
    And no relay is preferred by more than twice its share of many zones without a relay
