Feature: A proxy directs no call to a drained zone

  Scenario: From the version of the drain on nothing is sent to the zone, a retry neither
    Given a proxy in the zone "here" with 4 endpoints there and 2 in the zone "east"
    When the proxy learns that "here" is drained
    And 30 callers ask the zoned proxy
    Then all calls were sent to the zone "east"
    When each agent refuses its calls as "overloaded"
    Then all calls were sent to the zone "east"

  Scenario: A proxy that has just started obeys the drain with its first call
    Given a proxy that starts while "here" is drained, with 4 endpoints there and 2 in the zone "east"
    When 30 callers ask the zoned proxy
    Then all calls were sent to the zone "east"

  Scenario: Calls that wait for a link into the zone go elsewhere at once
    Given a proxy in the zone "here" with 1 endpoint that answers no dial and 1 in the zone "east"
    When a caller asks the zoned proxy, and its call waits for a link into the zone "here"
    And the proxy learns that "here" is drained
    Then all calls were sent to the zone "east"
    When the link into the drained zone opens late
    Then all calls were sent to the zone "east"

  Scenario: With all endpoints in drained zones a call is refused at once, as not run
    Given a proxy in the zone "here" with 2 endpoints there and 2 in the zone "east"
    When the proxy learns that "here, east" is drained
    And 1 callers ask the zoned proxy
    Then the zoned proxy refused call 1 as "zone-drained", not run, with a retry time
    And the zoned proxy sent nothing

  Scenario: A proxy that is behind gets the agents' refusals, and its calls go to another zone
    Given a proxy in the zone "here" with 6 endpoints there and 1 in the zone "east"
    And agents of the zone "here" that know of its drain
    When 40 callers ask the zoned proxy one after the other
    Then each of those calls was answered in the zone "east" after at most 1 refusal
    And no endpoint was retired or ejected

  Scenario: Refusals by a drain use no retry budget
    Given a proxy in the zone "here" with 6 endpoints there and 1 in the zone "east"
    And agents of the zone "here" that know of its drain
    And a budget of no retries
    When 10 callers ask the zoned proxy one after the other
    Then each of those calls was answered in the zone "east" after at most 1 refusal

  Scenario: A proxy that doesn't know the refusal's flag goes elsewhere and keeps the endpoint
    Given a proxy in the zone "here" with 1 endpoint there and 1 in the zone "east"
    And agents of the zone "here" that know of its drain, whose flag the proxy doesn't know
    When 30 callers ask the zoned proxy
    And all calls are answered
    And 10 callers ask the zoned proxy one after the other
    Then each of those calls was answered in the zone "east" after at most 1 refusal
    And fewer than 4 calls were refused in the zone "here"
    And no endpoint was retired or ejected

  Scenario: After the withdrawal the zone's endpoints are ramped up as new ones
    Given a proxy in the zone "here" with 1 endpoint there and 1 in the zone "east"
    When 6 callers ask the zoned proxy
    Then 6 of those calls were sent to the zone "here"
    When all calls are answered
    And the proxy learns that "here" is drained
    And the proxy learns that no zone is drained
    And 6 callers ask the zoned proxy
    Then 1 of those calls were sent to the zone "here"
    When all calls are answered
    And 20 seconds pass at the zoned proxy
    And 6 callers ask the zoned proxy
    Then 6 of those calls were sent to the zone "here"

  Scenario: The filter gives the same sequence each time, on which other caches rely
    Then a filter of drained zones returns the same endpoints for the same sequence
    And it returns the sequence itself while no zone is drained

  Scenario: A proxy that is behind finds the one zone that isn't drained, however many are
    Given a proxy in the zone "here" with 2 endpoints there and 2 in each of 6 further zones, of which one isn't drained
    When 10 callers ask the zoned proxy one after the other
    Then each of those calls was answered in the zone "z6" after at most 6 refusal

  Scenario: A call that may run once is sent on after the refusal, and runs once
    Given a proxy in the zone "here" with 2 endpoints there and 1 in the zone "east"
    And agents of the zone "here" that know of its drain
    When a caller places an order through the zoned proxy until an agent has refused one
    Then each order was sent to one endpoint that ran it, and answered

  Scenario: A real agent's refusal of a queued call sends it to another zone
    Given a proxy in the zone "here" with 1 endpoint there and 1 in the zone "east"
    And a real agent with 1 slot behind the endpoint of the zone "here"
    When 3 calls were sent to the zone "here" and the agent learns that it is drained
    Then 2 of those calls were sent on to the zone "east", without a budget for retries
    And the one that ran is answered from the zone "here"

  Scenario: A drain is obeyed also where no route table can be built from its version
    Given a proxy in the zone "here" with 2 endpoints there and 2 in the zone "east"
    When no route table can be built any more
    And the proxy learns that "here" is drained
    And 10 callers ask the zoned proxy
    Then all calls were sent to the zone "east"
