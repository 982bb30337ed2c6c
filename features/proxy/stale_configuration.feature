Feature: A proxy reports a missing route only while its configuration is confirmed current
  Guards against "no-route" answers from an outdated configuration, for example after the relay stopped responding.

  Scenario: A path without a route while the configuration is stale
    Given a proxy with one endpoint
    When the proxy's relay stops responding
    And 9.0 seconds pass at the proxy
    And a caller asks the proxy for "/returns/1"
    Then the proxy refused call 1 as "stale" with a retry time
    And call 1 failed as "stale" with outcome "not-run"

  Scenario: A missing idempotency key while the configuration is stale
    Given a proxy with one endpoint
    When the proxy's relay stops responding
    And 9.0 seconds pass at the proxy
    And a caller places an order without a key
    Then the proxy refused call 1 as "stale" with a retry time

  Scenario: A refusal that does not depend on the configuration
    Given a proxy with one endpoint
    When the proxy's relay stops responding
    And 9.0 seconds pass at the proxy
    And a caller asks the proxy for "/orders/../admin"
    Then the proxy refused call 1 as "invalid-request"

  Scenario: The maximum age comes from the settings
    Given settings of a proxy whose configuration.stale_after_ms is 1300
    Then its core reports missing routes up to 1.3 seconds after the last freshness proof

  Scenario: A path without a route once the configuration is confirmed current again
    Given a proxy with one endpoint
    When the proxy's relay stops responding
    And 9.0 seconds pass at the proxy
    And the proxy's relay responds again
    And 9.0 seconds pass at the proxy
    And a caller asks the proxy for "/returns/1"
    Then the proxy refused call 1 as "no-route"

  Scenario: A path with a route is served while the configuration is stale
    Given a proxy with one endpoint
    When the proxy's relay stops responding
    And 9.0 seconds pass at the proxy
    And a caller asks the proxy for "/orders/1"
    And the agent answers the call
    Then call 1 got the answer of its agent
