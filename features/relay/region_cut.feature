Feature: A region that is partitioned for an hour keeps its configuration, and catches up by deltas
  Guards against configuration that is lost in a partition, and against snapshots for all proxies after it.

  Background:
    Given a region "near" of the zones "near-1" with the source
    And a region "far" of the zones "far-1, far-2"
    And 2 region proxies in each zone that know every relay
    And a region agent in each zone
    When 10 seconds pass over the regions
    And the network between the regions is partitioned

  Scenario: Configuration and endpoints during a partition of an hour and after it
    When the configuration changes 40 times in 3600 seconds
    Then every proxy in "near" holds the newest version
    And every proxy in "far" holds the complete version from before the partition
    And every proxy in "far" was always linked to a relay of its region
    When the agent in "far-1" drains
    And 0.5 seconds pass over the regions
    Then every proxy in "far" sees the agent in "far-1" as "draining"
    And every proxy in "near" sees the agent in "far-1" as "gone"
    And every proxy in "near" sees the agent in "far-2" as "gone"
    When the network partition is healed
    And 15 seconds pass over the regions
    Then every proxy in "far" holds the newest version
    And no relay or proxy in "far" received a snapshot since the partition
    And every proxy in "near" sees the agent in "far-1" as "draining"
    And every proxy in "near" sees the agent in "far-2" as "ready"
    And every proxy in "far" sees the agent in "near-1" as "ready"

  Scenario: Proxies that restart during the partition receive the version that their relays hold
    When the configuration changes 4 times in 120 seconds
    And the proxies in "far" restart with their disks
    And 5 seconds pass over the regions
    Then every proxy in "far" holds the complete version from before the partition
