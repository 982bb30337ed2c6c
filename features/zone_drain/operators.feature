Feature: Operators see who drains a zone, and what the drain does to calls

  Scenario: An order through the operators' service bears the name of the operator's credential
    Then an order of "anna" that claims to be from "boris" is passed on as "anna"'s

  Scenario: The operators' service refuses zones that the settings don't list
    Then an order of "anna" for the zone "north" is refused where the settings list "east, west"
    And it is passed on where the settings list no zones

  Scenario: The leader logs committed orders and withdrawals, once
    Given three control processes that know the zones "east, west"
    When the zone "east" is ordered to be drained by "anna"
    And the zone "east" is ordered to be drained by "anna"
    And the drain of the zone "east" is withdrawn
    Then the group logged one order by "anna" for "east" and one withdrawal

  Scenario: The proxy's log says when it starts and stops following a drain
    Given a proxy in the zone "here" with 2 endpoints there and 2 in the zone "east"
    When the proxy learns that "here" is drained
    And the proxy learns that "here" is drained
    And the proxy learns that no zone is drained
    Then the proxy logged once that the drain of "here" began and ended

  Scenario: Explaining a request names the drains that its proxy knew of
    Given the log of a proxy that knows of drains of "east" and "west", of which "west" has ended
    And a request that it refuses as "zone-drained"
    When the request is explained
    Then the explanation's deciding line says "all endpoints of orders are in drained zones"
    And it names just the drain of "east" among what the proxy believed
