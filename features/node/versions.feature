Feature: An agent gets the version of its instance's software from whichever report has it

  # Guards against an instance without calls during a rollout, as its version came while its agent was starting.
  Scenario Outline: A report with the version comes <when>
    Given a node that starts agents for its instance
    When a probe finds the instance, and a report with version "v2" comes <when>
    Then the instance's agent has got the version "v2" once

    Examples:
      | when                        |
      | before the agent is started |
      | after the agent has started |

  # Guards against a version that goes to the agent of the run before.
  Scenario: A report with the version comes while the agent of the former run is ending
    Given a node that starts agents for its instance
    When a probe finds the instance
    And another instance is found, and its report with version "v3" comes before its agent is started
    Then the former instance's agent has got no version, and the new one's the version "v3" once
