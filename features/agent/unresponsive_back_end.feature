Feature: An agent notices that its back end has fallen silent, and sends calls elsewhere

  Background:
    Given a registered agent with 2 slots and a proxy
    And the agent's back end has answered a call after 0.1 seconds

  Scenario: Calls that take long have a connection tried, once all that run do
    When the agent gets a call on agent stream 2 with 10 seconds left
    And 0.3 seconds pass at the agent
    And the agent gets a call on agent stream 3 with 10 seconds left
    And 0.3 seconds pass at the agent
    Then the agent has tried 0 connections
    When 0.2 seconds pass at the agent
    Then the agent has tried 1 connections

  Scenario: Nobody there: what waits and what may be repeated goes back at once, further calls too
    When the agent gets a call on agent stream 2 with 10 seconds left
    And the agent gets an at-most-once call on agent stream 3
    And the agent gets a call on agent stream 4 with 10 seconds left
    And 0.5 seconds pass at the agent
    And no connection to the agent's back end opens
    Then agent stream 4 has failed with connection-failed
    And agent stream 2 has failed with backend-failed
    And agent stream 3 has no answer yet
    When the agent gets a call on agent stream 5 with 10 seconds left
    Then agent stream 5 has failed with connection-failed
    And the last load that the agent reported is 255

  Scenario: It is there again as soon as a connection opens
    When the agent gets a call on agent stream 2 with 10 seconds left
    And 0.5 seconds pass at the agent
    And no connection to the agent's back end opens
    And 0.25 seconds pass at the agent
    Then the agent has tried 2 connections
    When a connection to the agent's back end opens
    And the agent gets a call on agent stream 3 with 10 seconds left
    Then the agent's back end has been asked for agent stream 3

  Scenario: A back end that is slow but there keeps its calls
    When the agent gets a call on agent stream 2 with 10 seconds left
    And 0.5 seconds pass at the agent
    And a connection to the agent's back end opens
    And the agent gets a call on agent stream 3 with 10 seconds left
    Then agent stream 2 has no answer yet
    And the agent's back end has been asked for agent stream 3

  Scenario: An idle back end is not tried
    When 10 seconds pass at the agent
    Then the agent has tried 0 connections

  Scenario Outline: A connection that <what> says that somebody is <there>
    Given a back end whose new connections <what>
    Then trying one says within 0.15 seconds that somebody is <there>

    Examples:
      | what         | there     |
      | open         | there     |
      | are refused  | there     |
      | hang         | not there |

  Scenario: A process that is held up does not take its back end for a silent one
    Calls of a node under load were answered 502, "the back end fell silent while the call ran", with the instance at
    work: the connection that was tried had opened, but the node had no processor for longer than the time it allows.
    Given a back end whose new connections open
    Then a process that is held up for 0.3 seconds while it tries one says that somebody is there
