@fleet
Feature: A machine that was suspended knows on waking that time has passed
  The steady clock of a suspended machine skips the time that its peers go on through. A node that was away for 6 s took
  its last proof of the configuration, half a second old by that clock, for current, and told a caller that a route is
  missing that had been acknowledged 4 s before.

  Scenario: A route that came while the node was away is not told as missing
    Given five control machines, and a node that may be suspended
    When the node is suspended, and the relays that it follows stand still
    And a new route is acknowledged meanwhile
    And the node wakes, and is asked for that route at once
    Then it does not say that there is no such route
    And it serves what it has a route for
