Feature: A region that is cut off for an hour goes on with what it holds, and catches up by delta

  Background:
    Given a region "near" of the zones "near-1" with the source
    And a region "far" of the zones "far-1, far-2"
    And 2 region proxies in each zone that know every relay
    And a region agent in each zone
    When 10 seconds pass over the regions
    And the regions are cut off from each other

  Scenario: An hour apart, and joined again
    When the configuration changes 40 times in 3600 seconds
    Then every proxy in "near" holds the region's newest version
    And every proxy in "far" holds the version of the cut, whole
    And no proxy in "far" has been without its region's relays
    When the agent in "far-1" drains
    And 0.5 seconds pass over the regions
    Then every proxy in "far" sees the agent in "far-1" as "draining"
    And every proxy in "near" sees the agent in "far-1" as "gone"
    And every proxy in "near" sees the agent in "far-2" as "gone"
    When the regions are joined again
    And 15 seconds pass over the regions
    Then every proxy in "far" holds the region's newest version
    And since the cut no relay and no proxy in "far" was sent a snapshot
    And every proxy in "near" sees the agent in "far-1" as "draining"
    And every proxy in "near" sees the agent in "far-2" as "ready"
    And every proxy in "far" sees the agent in "near-1" as "ready"

  Scenario: Proxies that restart in the cut region get what its relays hold
    When the configuration changes 4 times in 120 seconds
    And the proxies in "far" restart with their disks
    And 5 seconds pass over the regions
    Then every proxy in "far" holds the version of the cut, whole
