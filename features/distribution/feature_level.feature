Feature: A reader is sent no kind of resource that its build does not read

  An older build would take such a resource for one without content, and refuse each version whose
  digest covers it.

  Scenario Outline: What a relay and its proxies hold
    Given a source, a relay of level <relay>, and proxies of levels 0 and 1 at that relay
    When the source moves on to a service, then a zone drain, then another service
    Then the relay holds <relay drains> zone drains, its proxies 0 and <proxy drains>
    And the relay and its proxies hold both services, having refused nothing

    Examples:
      | relay | relay drains | proxy drains |
      | 0     | 0            | 0            |
      | 1     | 1            | 1            |

  Scenario: A reader of an older build learns of the version that brought a zone drain
    Given a source, a relay of level 0, and proxies of levels 0 and 1 at that relay
    When the source moves on to a service, then a zone drain, then another service
    And the source moves on to a second zone drain
    Then the relay was sent 2 versions and has been told of the last one

  Scenario Outline: A relay of an older build that comes back is sent only what it lacks
    Given a source with a window of <window> and a relay of level 0
    And the source holds services and zone drains
    When the relay is down while services and zone drains change
    Then the relay catches up by <way>, without a snapshot and without a zone drain

    Examples:
      | window | way                    |
      | 64     | a delta                |
      | 1      | a delta over an inventory |

  Scenario: A relay of an older build that missed only a zone drain is sent nothing
    Given a source with a window of 64 and a relay of level 0
    And the source holds services and zone drains
    When the relay is down while a zone drain is given
    Then the relay is up to date without a delta or a snapshot

  Scenario: A relay that is upgraded receives the zone drains it was not sent, and no snapshot
    Given a source with a window of 64 and a relay of level 0
    And the source holds services and zone drains
    When the relay comes back with this build
    Then the relay holds the zone drains and was sent no snapshot

  Scenario: Proxies for all services get endpoints whatever their level
    Given an endpoint feed with proxies for everything of levels 0 and 1
    When an endpoint changes
    Then both proxies are sent it

  Scenario: A reader of the highest level of any record shares the view of readers of this level
    Then relays of levels 1, 2 and 7 that ask for everything share one whole scope
    And proxies of levels 1, 2 and 7 that ask for one service share a scope
