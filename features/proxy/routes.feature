Feature: Routes by host, split between services, with calls that run once a sending

  Scenario: The host and the longest prefix choose the route
    Given routes for the host "one.example", for "two.example" and for any host
    Then "/shop/7" at "one.example" takes the route "one-shop"
    And "/shop/7" at "one.example:8080" takes the route "one-shop"
    And "/shop/deep/7" at "one.example" takes the route "one-deep"
    And "/shop/7" at "three.example" takes the route "any-shop"
    And "/shop/7" at "two.example" takes no route

  Scenario: A split gives each part its weight in every window
    Given any weights and any run of calls, each part is within one call of its weight

  Scenario: A changed split begins a new round, an unchanged one goes on
    Given a split of 90 and 10 that has taken 5 calls
    Then an unchanged table goes on with its round
    And a table with other weights begins another

  Scenario Outline: A call that may not run twice goes on only after NOT RUN
    Given a proxy with a route for calls that run once a sending
    When the first agent answers the call with <kind>
    Then the call <ends>

    Examples:
      | kind              | ends                           |
      | draining          | goes to another agent          |
      | backend-refused   | goes to another agent          |
      | wrong-incarnation | goes to another agent          |
      | backend-failed    | ends as backend-failed         |
      | connection-lost   | ends as connection-lost        |
      | outcome-unknown   | ends as backend-failed         |

  Scenario: A second choice after an agent's refusal has a budget of its own, once a call
    Given a proxy with 50 percent of second choices and no retries saved
    When 100 calls are refused by every agent they reach
    Then at most 70 of them were tried twice and none thrice

  Scenario: An upload whose body nobody has asked for tries four endpoints, without a budget
    Given a proxy with 50 percent of second choices and no retries saved
    When an upload of 20000 bytes is refused by every agent it reaches
    Then it was tried at 4 endpoints, each another one, and no byte of its body was sent

  Scenario: What all proxies may save up is shared by their number
    Given retry budgets with 38 saved retries for the fleet
    When the fleet has 12 nodes
    Then 3 retries can be taken at once and no more

  Scenario: A table that keeps what did not change is the table built anew
    Given any changes of routes, services, secrets and tenants, a table built over the former equals one built anew
    And a route that did not change keeps its entry
