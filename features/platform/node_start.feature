@fleet
Feature: A node that starts beside a running instance serves before the instance reports itself

  Scenario: The instance is asked who it is
    Given a control process and a node of the platform beside a back end with 1 slot
    When the platform's configuration is put and the back end reports itself
    Then a request through the node is answered by the back end, with the caller's service told
    When the node is killed and started again, and the back end reports nothing
    Then a request through the node is answered by the back end, with the caller's service told

  Scenario Outline: An answer to a health probe <what> <names>
    Then a health response <what> <names>

    Examples:
      | what                               | names                  |
      | with id and load                   | names i-1 with 8 slots |
      | with an id alone                   | names i-1 with 0 slots |
      | with a load that is no list        | names i-1 with 0 slots |
      | with a load of too many digits     | names i-1 with 0 slots |
      | with id and load, but unhealthy    | names no instance      |
      | without an id                      | names no instance      |

  Scenario: An instance that starts again under its identifier is used, and others take nobody's place
    Given a control process and a node of the platform beside a back end with 1 slot
    When the platform's configuration is put and the back end reports itself
    And the back end, born at 1000, says report 40
    And the back end, born at 2000, says report 1
    Then another endpoint is registered for it
    And a request through the node is answered by the back end, with the caller's service told
    When the back end, born at 1000, says late that it leaves and ends
    And reports come that name no instance beside the node
    Then a request through the node is answered by the back end, with the caller's service told
    And one line of the node's log tells of them
    When the back end, born at 2000, says late that it leaves and ends
    Then a request through the node fails for want of an endpoint
    When the back end, born at 3000, says report 1
    Then another endpoint is registered for it
    And a request through the node is answered by the back end, with the caller's service told

  Scenario: Late reports of a dead instance with another identifier and no start time
    Guards against an agent that sends the calls of the current instance to a dead one.
    Given a control process and a node of the platform beside a back end with 1 slot
    When the platform's configuration is put and the back end reports itself
    And 4 late reports of "i-2" arrive, which is dead
    Then the instance beside the node is the same
    And a request through the node is answered by the back end, with the caller's service told
    When the back end is replaced by "i-3", which reports itself
    Then another endpoint is registered for it
    And a request through the node is answered by the back end, with the caller's service told

  Scenario: Reports that a node can take without a configuration are taken
    Guards against refusing an instance of another service at a reused address until the node has a configuration.
    Given a control process and a node of the platform beside a back end with 1 slot
    When the node takes reports, without a configuration
    Then a report of "i-7" of service "beta" is answered with 200
    And the end of "i-8" is answered with 200
    When the configuration is put, which has no service "beta"
    Then a draining report of "i-7" of service "beta" is answered with 200
    And a report of "i-9" of service "beta" is answered with 400
    And the end of "i-7" is answered with 200

  Scenario: A report that comes while the node starts waits in place of being refused
    Then a node opens its address for reports before it imports the product
    And without a usable address the early listener is left out

  # Guards against an agent that never asks for the load, as it started before the health path was known.
  Scenario: An instance reports itself before the configuration is put
    Given a control process and a node of the platform beside a back end with 1 slot
    When the back end reports itself, and then the platform's configuration is put
    And a request takes 0.5 seconds after quick ones
    Then the back end was asked on its health path during that request
