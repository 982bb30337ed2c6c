Feature: A proxy says that a route is not there only by a configuration that is proved current
  Symptom: a node refused a call as no-route 2.10 s after the change that added the route was acknowledged. Sequence:
  the change was committed; it had not come to the node; a caller used the route. Cause: the proxy took the absence of a
  route in what it held for a fact, however long ago that had been proved current. What settled it: the refusal came 2 ms
  after the call, so the node was not held up; with a relay that has gone silent, as here, every call is refused so.

  Scenario: A path without a route, while the configuration is not proved current
    Given a proxy with one endpoint
    When the proxy's relay falls silent
    And 9.0 seconds pass at the proxy
    And a caller asks the proxy for "/returns/1"
    Then the proxy refused call 1 as "stale" with a retry time
    And the caller of call 1 was told "stale" and outcome "not-run"

  Scenario: A key that a route asks for, while the configuration is not proved current
    Given a proxy with one endpoint
    When the proxy's relay falls silent
    And 9.0 seconds pass at the proxy
    And a caller places an order without a key
    Then the proxy refused call 1 as "stale" with a retry time

  Scenario: A refusal that no configuration changes
    Given a proxy with one endpoint
    When the proxy's relay falls silent
    And 9.0 seconds pass at the proxy
    And a caller asks the proxy for "/orders/../admin"
    Then the proxy refused call 1 as "invalid-request"

  Scenario: A proxy takes the age from its settings
    Given settings of a proxy whose configuration.stale_after_ms is 1300
    Then its core tells of a missing route by a proof of at most 1.3 seconds

  Scenario: A path without a route, once the configuration is proved current again
    Given a proxy with one endpoint
    When the proxy's relay falls silent
    And 9.0 seconds pass at the proxy
    And the proxy's relay speaks again
    And 9.0 seconds pass at the proxy
    And a caller asks the proxy for "/returns/1"
    Then the proxy refused call 1 as "no-route"

  Scenario: A path that has a route is served meanwhile
    Given a proxy with one endpoint
    When the proxy's relay falls silent
    And 9.0 seconds pass at the proxy
    And a caller asks the proxy for "/orders/1"
    And the agent answers the call
    Then call 1 got the answer of its agent
