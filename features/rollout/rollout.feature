Feature: A rollout shifts a service's calls to another version, limited by canary analysis
  Guards against bad versions that are promoted, good ones that are rolled back, and calls beyond the exposure limit.

  Scenario: Good versions are found good, and failing or slow ones bad
    Given random services, whose version "v2" is compared with the baseline "v1"
    Then at most 1 in 100 good versions is found bad or suspect
    And at least 98 in 100 bad versions are found bad within 600 calls

  Scenario: A version that fails on a rare route only is found bad
    Given a version whose rare route fails 5 of 10 calls while other routes succeed
    Then it is found bad, and the reason names the route

  Scenario: Failures that the baseline shares don't count against a version
    Given a version and a baseline that both fail 2 of 10 calls
    Then the version is found good

  Scenario: Tallies of agents can be merged in any order
    Given the tallies of several agents, their sums don't depend on the order

  Scenario: All calls are shifted as late as the deadline allows, within the exposure limit
    Given a rollout of 16 seconds at a service with 40 back ends
    Then its first step is 25 permille
    And a version that stays good is completed before the deadline
    And a version that turns bad only at the end received less than a tenth of the calls

  Scenario: A version without enough answers is rolled back
    Given a rollout of 16 seconds at a service with 40 back ends
    Then without a ready back end of the target version it is rolled back before the deadline
    And without enough answers it is rolled back before the deadline

  Scenario Outline: Proxies split calls between versions by the rollout's state and fraction
    Given a service with endpoints of versions "v1" and "v2", and one of unknown version
    When its rollout from "v1" to "v2" is <state> at <permille> permille
    Then <part> of its calls go to "v2" and the others to "v1"

    Examples:
      | state       | permille | part              |
      | running     | 0        | none              |
      | running     | 50       | about 50 permille |
      | running     | 1000     | all               |
      | completed   | 1000     | all               |
      | rolled back | 50       | none              |

  Scenario: All proxies send the canary calls to the same few endpoints
    Given a service with endpoints of versions "v1" and "v2", and one of unknown version
    When its rollout from "v1" to "v2" is running at 50 permille
    Then two proxies send the canary calls to the same 1 endpoint of "v2"

  Scenario: Without a rollout all versions receive calls
    Given a service with endpoints of versions "v1" and "v2", and one of unknown version
    Then all its endpoints may receive calls

  Scenario: A replacing batch keeps the rollouts of services that it contains
    Given a state with a service, a route to it and a rollout
    When a replacing batch contains the service and another route
    Then the rollout is kept
    When a replacing batch contains another service
    Then the rollout is removed

  Scenario: An agent counts calls while a rollout runs and its back end has warmed up
    Given an agent's count of version "v2" whose back end warms up for 3 seconds
    When a rollout runs and calls end at 1, 4 and 4.1 seconds
    Then 2 calls are reported, and nothing more until another ends
    When the rollout is over
    Then ended calls are not counted

  Scenario: Relays keep the newest tally of each agent, and forward those of their own agents
    Given a relay's tally store with another relay subscribed
    When an agent sends tallies of 5 calls, then of 3, then of 8
    Then the other relay received tallies of 5 and 8 calls
    And the store holds 8 calls for the rollout and none for another

  Scenario: A suspect version is rolled back before the deadline, and a bad one at once
    Given a rollout of 16 seconds at a service with 40 back ends
    Then a suspect version is rolled back before the deadline
    And a version that turns bad after 5 seconds is rolled back then

  Scenario: A repeated order has no effect, and a concurrent one is refused
    Given a control process with a service whose back ends are of "v1"
    When a rollout to "v2" in 12 seconds is ordered while the configuration changes 3 times
    Then it is running from "v1" to "v2"
    When the same rollout is ordered again
    Then nothing was committed for it
    When a rollout to "v3" in 12 seconds is ordered
    Then it is refused as "conflict", and the rollout to "v2" is unchanged
    When a rollout of an unknown service is ordered
    Then it is refused as "not-found", and the rollout to "v2" is unchanged

  Scenario: A completed rollout's version is the baseline of the next one
    Given a control process with a service whose back ends are of "v1"
    When a rollout to "v2" in 12 seconds is ordered and ends completed
    And a rollout to "v3" in 12 seconds is ordered
    Then it is running from "v2" to "v3"

  Scenario: A rollout that was rolled back can be ordered again, but not by a delayed retry
    Given a control process with a service whose back ends are of "v1"
    When a rollout to "v2" in 12 seconds is ordered and ends rolled back
    And the same rollout is ordered again
    Then nothing was committed for it
    When the same rollout is ordered again after 6 seconds
    Then it is running from "v1" to "v2"
