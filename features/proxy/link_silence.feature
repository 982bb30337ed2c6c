Feature: A proxy finds out early that an agent's machine has vanished

  Without this, each call sent to the machine until the transport gives up has an unknown outcome.

  Scenario: The link of a vanished machine is suspect half a second after its first lost call
    Given a proxy with 2 endpoints whose agents answer probes
    When a call is sent to an agent whose machine has vanished
    And 0.5 seconds pass at the proxy
    Then no link is suspect
    When another agent is heard, and 0.1 seconds pass
    Then the link to the vanished machine is suspect
    And 2 probes were sent to it

  Scenario: Further calls avoid a suspect link
    Given a proxy with 2 endpoints, one of which is suspect
    When 40 further calls are made
    Then none of them was sent to the suspect endpoint

  Scenario: A suspect link is used where nothing else is left
    Given a proxy with 2 endpoints, one of which is suspect
    And the other endpoint's link is lost and accepts no dial
    When 1 further call is made
    And 0.2 seconds pass at the proxy
    Then the last call was sent to the suspect endpoint

  Scenario: A repeatable call on a suspect link is tried elsewhere, and is never told as not run
    Given a proxy with 2 endpoints, one of which is suspect, and a retry budget
    Then the repeatable call that waited there was sent to the other endpoint
    And the suspect agent was told to cancel it
    When the other endpoint refuses it as "overloaded"
    Then that call failed as "connection-lost" with outcome "unknown"

  Scenario: A repeatable call without retry budget stays on its suspect link
    Given a proxy with 2 endpoints, one of which is suspect
    Then the call that waited there is still open
    When the suspect agent answers that call
    Then its caller got the answer

  Scenario: A call that may not be repeated stays until the link answers
    Given a proxy with 2 endpoints, one of which is suspect with an order, and a retry budget
    Then the call that waited there is still open
    When the suspect agent answers that call
    Then its caller got the answer
    And no link is suspect

  Scenario: A call that may not be repeated stays until the link ends, with an unknown outcome
    Given a proxy with 2 endpoints, one of which is suspect with an order, and a retry budget
    When the link to the vanished machine is lost
    Then that call failed as "connection-lost" with outcome "unknown"
    And no link is suspect

  Scenario: An agent of an older build is sent no probe and is never suspect
    Given a proxy with 2 endpoints whose agents are of level 1
    When a call is sent to an agent whose machine has vanished
    And another agent is heard, and 1.5 seconds pass
    Then 0 probes were sent to it
    And no link is suspect

  Scenario: A silence time of 0 switches the detection off
    Given a proxy with 2 endpoints and a silence time of 0
    When a call is sent to an agent whose machine has vanished
    And another agent is heard, and 1.5 seconds pass
    Then 0 probes were sent to it
    And no link is suspect

  Scenario: A slow call at an agent that answers probes never makes its link suspect
    Given a proxy with 2 endpoints whose agents answer probes
    When a call takes 1.9 seconds at its agent
    Then no link was ever suspect
    And at most 4 probes were sent in any second

  Scenario: Suspicion is logged and counted, and its end as well
    Given a proxy with 2 endpoints, one of which is suspect
    Then the log has event 4260 with the agent's address and its calls
    When the suspect agent answers that call
    Then the log has event 4261 with the agent's address and its calls
    And the numbers of suspect links that were told are 1 and 0

  Scenario: An agent answers a probe at once, whatever its queue holds
    Given an agent whose only slot is taken and whose queue holds 3 calls
    When a proxy sends the agent probe 7
    Then the agent answered probe 7 in the same turn

  Scenario: A proxy that is cut off suspects no link
    Given 57 links, each with a call in progress
    When nothing arrives on any link for 3.0 seconds
    Then no link was suspected

  Scenario: A proxy that is cut off, and hears only its own machine, suspects no link
    Given 57 links, each with a call in progress
    When only 2 connections of its own machine are heard for 3.0 seconds
    And 30 of the links are heard again, the others 0.3 seconds later
    Then no link was suspected

  Scenario: A proxy that is heard again counts silence anew
    Given 57 links, each with a call in progress
    When nothing arrives on any link for 3.0 seconds
    And 30 of the links are heard again, the others 0.3 seconds later
    Then no link was suspected

  Scenario: A proxy that was suspended concludes nothing from the time it did not run
    Given 5 links, each with a call in progress, and 10 others heard all the time
    When the proxy is suspended for 3.0 seconds at any moment
    And the links are heard 0.2 seconds after it runs again
    Then no link was suspected

  Scenario: Machines that vanish together are found while the others are heard
    Given a proxy with a link to each of 69 agents and 20 calls a second of 300 ms
    When 12 of the machines vanish for 3.0 seconds
    Then each of their links was suspect 0.4 to 0.6 seconds after its first lost call
    And no other link was suspected
    And at most 2 probes were sent on each vanished link

  Scenario: What the probes cost on an ordinary day
    Given a proxy with a link to each of 69 agents and 20 calls a second of 300 ms
    When 60 seconds pass without a fault
    Then 0 probes were sent for 1200 calls

  Scenario: What the probes cost where calls take longer
    Given a proxy with a link to each of 69 agents and 20 calls a second of 700 ms
    When 60 seconds pass without a fault
    Then at most 2 probes a call were sent, and no link was suspected

  Scenario: Answers of probes that wait behind a long answer on a slow link
    Given a proxy with a link to each of 69 agents and 20 calls a second of 700 ms
    And answers of probes wait up to 0.15 seconds on slow links
    When 60 seconds pass without a fault
    Then no link was suspected

  Scenario: A network that loses 3 in 100 packets breaks no link and moves few calls
    Given a proxy with a link to each of 69 agents and 20 calls a second of 700 ms
    And 3 in 100 packets are lost
    When 300 seconds pass without a fault
    Then fewer than 1 in 200 calls met a suspect link, and each suspicion ended

  Scenario: A proxy tells its relay of a suspect link, again while it is suspect, and then no more
    Given a proxy with 2 endpoints, one of which is suspect
    When 1.1 seconds pass at the proxy
    Then the proxy has reported the vanished agent 3 times
    When the suspect agent answers that call
    And 2.0 seconds pass at the proxy
    Then the proxy has reported the vanished agent 3 times

  Scenario: Calls avoid an agent that another proxy finds silent, for less than a second
    Given a proxy with 2 endpoints whose agents answer probes
    When the relay tells that another proxy finds the first agent silent
    And 0.7 seconds pass at the proxy
    Then 40 further calls avoid the first agent
    When 0.2 seconds pass at the proxy
    Then 40 further calls include the first agent

  Scenario: An agent's own report overrides the word of another proxy
    Given a proxy with 2 endpoints whose agents answer probes
    When the relay tells that another proxy finds the first agent silent
    And the relay tells a load of 0 that the first agent has reported
    Then 40 further calls include the first agent

  Scenario: What arrives on the own link overrides the word of another proxy
    Given a proxy with 2 endpoints whose agents answer probes
    When the relay tells that another proxy finds the first agent silent
    And 0.1 seconds pass at the proxy
    And the first agent is heard
    Then 40 further calls include the first agent

  Scenario: The word of another proxy moves no call that was sent, and sends no probe
    Given a proxy with 2 endpoints, both with a call in progress
    When the relay tells that another proxy finds the first agent silent
    And 0.2 seconds pass at the proxy
    Then both calls are still where they were sent
    And no probe was sent

  Scenario Outline: The silence time comes from the settings
    Then a proxy whose settings say "<setting>" takes a silence time of <seconds> seconds

    Examples:
      | setting | seconds |
      | nothing | 0       |
      | 800     | 0.8     |
      | 0       | 0       |
