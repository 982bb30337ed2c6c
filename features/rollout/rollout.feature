Feature: A service's calls are moved to another version only as far as its answers allow

  Scenario: A good version is judged good, and a bad one bad, of whichever kind
    Given versions drawn at random, each compared with a baseline of the same service
    Then at most 1 in 100 good ones is found bad or suspect
    And of the bad ones at least 98 in 100 are found bad within 600 calls

  Scenario: A version that is bad on one rare route alone is found
    Given a version whose rare route fails 5 of 10 calls while others are served
    Then it is found bad, and the reason names the route

  Scenario: Faults that the baseline shares convict nobody
    Given a version and a baseline that both fail 2 of 10 calls
    Then the version is not found bad

  Scenario: Sums of agents join in any order
    Given the sums of some agents, they join to the same in any order

  Scenario: The whole of the calls is moved as late as what may be exposed allows
    Given a rollout of 16 seconds at a service with 40 back ends
    Then its first step is 25 in a thousand
    And a version that stays good is completed before the deadline
    And a version that proves bad only at the end was given less than a tenth of the calls

  Scenario: A version of which nothing is known is not moved on
    Given a rollout of 16 seconds at a service with 40 back ends
    Then without a back end of the version it is rolled back before the deadline
    And without enough answers it is rolled back before the deadline

  Scenario Outline: Calls reach the versions that the rollout lets
    Given a service with endpoints of versions "v1" and "v2", and one whose version is not known
    When its rollout from "v1" to "v2" is <state> at <permille>
    Then <part> of its calls go to "v2" and the others to "v1"

    Examples:
      | state       | permille | part     |
      | running     | 0        | none     |
      | running     | 50       | about 50 |
      | running     | 1000     | all      |
      | completed   | 1000     | all      |
      | rolled back | 50       | none     |

  Scenario: A few endpoints carry what the version gets, the same ones at all proxies
    Given a service with endpoints of versions "v1" and "v2", and one whose version is not known
    When its rollout from "v1" to "v2" is running at 50
    Then two proxies send the calls that are drawn to the same 1 endpoint of "v2"

  Scenario: Without a rollout all versions are let
    Given a service with endpoints of versions "v1" and "v2", and one whose version is not known
    Then all its endpoints are let

  Scenario: A configuration that replaces all keeps the rollouts of its services
    Given a state with a service, a route to it and a rollout
    When a batch that replaces all names the service and another route
    Then the rollout is kept
    When a batch that replaces all names another service
    Then the rollout is gone

  Scenario: An agent counts for a rollout while it runs, and not while its back end is cold
    Given an agent's count of version "v2" whose back end is cold for 3 seconds
    When a rollout runs and calls end at 1, 4 and 4.1 seconds
    Then 2 calls are told, and nothing more until another ends
    When the rollout is over
    Then calls that end are not counted

  Scenario: Relays hold the newest sums, and pass on those of their own agents
    Given a relay's board with another relay listening
    When an agent tells sums of 5 calls, then of 3, then of 8
    Then the other relay was told of 5 and 8 calls
    And the board holds 8 calls for the rollout and none for another

  Scenario: A suspect version is not moved on, and one that proves bad ends at once
    Given a rollout of 16 seconds at a service with 40 back ends
    Then a suspect version is rolled back before the deadline
    And a version that proves bad after 5 seconds is rolled back then

  Scenario: An order is taken once, and another one beside it is refused
    Given a control process with a service whose back ends are of "v1"
    When a rollout to "v2" in 12 seconds is ordered while the configuration changes 3 times
    Then it is running from "v1" to "v2"
    When the same rollout is ordered again
    Then nothing was committed for it
    When a rollout to "v3" in 12 seconds is ordered
    Then it is refused as "conflict", and the one to "v2" stands
    When a rollout of a service that is not known is ordered
    Then it is refused as "not-found", and the one to "v2" stands

  Scenario: What follows a rollout that was completed starts from its version
    Given a control process with a service whose back ends are of "v1"
    When a rollout to "v2" in 12 seconds is ordered and ends completed
    And a rollout to "v3" in 12 seconds is ordered
    Then it is running from "v2" to "v3"

  Scenario: A rollout that was rolled back may be ordered anew, but not by a late resend
    Given a control process with a service whose back ends are of "v1"
    When a rollout to "v2" in 12 seconds is ordered and ends rolled back
    And the same rollout is ordered again
    Then nothing was committed for it
    When the same rollout is ordered again after 6 seconds
    Then it is running from "v1" to "v2"
