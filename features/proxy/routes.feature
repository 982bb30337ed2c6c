Feature: Routing by host, traffic splits, call kinds and retry budgets

  Scenario: The host and the longest prefix choose the route
    Given routes for the host "one.example", for "two.example" and for any host
    Then "/shop/7" at "one.example" takes the route "one-shop"
    And "/shop/7" at "one.example:8080" takes the route "one-shop"
    And "/shop/deep/7" at "one.example" takes the route "one-deep"
    And "/shop/7" at "three.example" takes the route "any-shop"
    And "/shop/7" at "two.example" takes no route

  Scenario: A split follows its weights over any number of calls
    Given any weights and calls, N destinations each take their share to within N calls

  Scenario: A changed split starts a new round, an unchanged one continues
    Given a split of 90 and 10 that has taken 5 calls
    Then an unchanged table continues the round
    And a table with other weights starts a new round

  # Guards against a split that drifts where each proxy takes few of the calls, or is refused many.
  Scenario Outline: A split of many proxies stays within a tenth of its weights over any 300 calls
    Given 69 proxies with a split of <weights>
    Then any 300 calls in a row are within 0.1 of the weights, <changes>

    Examples:
      | weights  | changes                             |
      | 90,10    | without changes                     |
      | 50,50    | without changes                     |
      | 60,30,10 | without changes                     |
      | 90,10    | with weights changed each 150 calls |
      | 75,25    | with weights changed each 150 calls |

  Scenario Outline: Refused calls don't shift a split
    Given a proxy with an even split that refuses every other call <reason>
    Then its admitted calls are split evenly

    Examples:
      | reason         |
      | for its group  |
      | for its key    |

  Scenario Outline: A destination that refuses calls doesn't take the turns of the other
    Given a proxy with an even split, one service of which takes no bodies, and a <age> configuration
    Then the other service still takes half of the calls with a body

    Examples:
      | age     |
      | current |
      | stale   |

  Scenario: Retries stay with the service of their call
    Given a proxy with an even split whose agents refuse every third attempt
    Then its calls are split evenly, and each retry goes to the service of its call

  Scenario Outline: A call that must not run twice is retried only after NOT RUN
    Given a proxy with a route whose calls run once per attempt
    When the first agent answers the call with <kind>
    Then the call <ends>

    Examples:
      | kind              | ends                           |
      | draining          | is retried at another agent    |
      | backend-refused   | is retried at another agent    |
      | wrong-incarnation | is retried at another agent    |
      | backend-failed    | ends as backend-failed         |
      | connection-lost   | ends as connection-lost        |
      | outcome-unknown   | ends as backend-failed         |

  Scenario: The second choice after an agent's refusal has its own budget and is used once per call
    Given a proxy whose second-choice budget is 50 percent of its calls
    When 100 calls are refused by every agent they reach
    Then at most 70 of them were tried twice and none more often

  Scenario: An upload without body credit tries up to four endpoints outside the budget
    Given a proxy whose second-choice budget is 50 percent of its calls
    When an upload of 20000 bytes is refused by every agent it reaches
    Then it was tried at 4 distinct endpoints without sending any of its body

  Scenario: Saved retries are divided by the number of proxies
    Given retry budgets that save up to 38 retries for the fleet
    When the fleet has 12 nodes
    Then 3 retries can be taken at once and no more

  Scenario: An incrementally updated route table equals a rebuilt one
    Given any changes of routes, services, secrets and tenants, an updated table equals a rebuilt one
    And a route that did not change keeps its entry
