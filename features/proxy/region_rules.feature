Feature: A call runs only in regions that its route and its caller's tenant allow
  Guards against requests whose bodies leave the regions where they may be, also when calls fail.

  Scenario Outline: First attempts go to allowed regions only
    Given a proxy of region south with endpoints in regions "north, south, west, unknown", a route bound to "<route>" and a tenant bound to "<tenant>"
    When the tenant makes 30 calls that are answered
    Then its calls reach the regions "<reached>"

    Examples:
      | route       | tenant      | reached |
      | north       | any         | north   |
      | any         | west        | west    |
      | north, west | west, south | west    |
      | any         | any         | south   |

  Scenario Outline: A call that may run nowhere is refused at once
    Given a proxy of region south with endpoints in regions "<regions>", a route bound to "<route>" and a tenant bound to "<tenant>"
    Then the tenant's call is refused at once, as nothing was run, because "<reason>"

    Examples:
      | regions        | route | tenant | reason                                             |
      | south, west    | north | any    | no endpoint of orders in an allowed region (north) |
      | unknown, south | north | any    | no endpoint of orders in an allowed region (north) |
      | north, south   | north | south  | route lookup and tenant t have no region in common |

  Scenario: A tenant bound to regions has nothing stored by routes whose answers are stored anywhere
    Given a proxy of region south with endpoints in regions "north, south", a route bound to "any" and a tenant bound to "north"
    Then the tenant's order is refused before anything is stored at a keeper

  Scenario: Operators read when calls have no endpoint, and when they have one again
    Given a proxy of region south with endpoints in regions "south, west", a route bound to "north" and a tenant bound to "any"
    When the tenant makes 5 calls that are answered
    Then the proxy has logged once that its calls have no endpoint
    When an endpoint in region north joins
    And the tenant makes 1 calls that are answered
    Then the proxy has logged once that its calls have no endpoint, and that they have one again
    And its calls reach the regions "north"

  Scenario: A quarantined request is tried again only where it may run
    Given a proxy of region south with endpoints in regions "north, south", a route bound to "north" and a tenant bound to "any"
    When the request "/orders/1" is quarantined and its time has passed
    And the tenant sends "/orders/1" as its trial
    Then its calls reach the regions "north"

  Scenario: Retries, redirects and second choices stay in allowed regions
    Given any regions and any failures, no attempt of a call is sent to a region that is not allowed
    Then each of a retry, a redirect and a second choice goes to an allowed region

  Scenario Outline: A call that two agents of its region refuse leaves it rather than be refused
    Given a proxy of region south with endpoints in regions "<regions>", a route bound to "<route>" and a tenant bound to "any"
    When every agent in region south refuses a call of the tenant
    Then the call was sent to "<sent>" in turn

    Examples:
      | regions                     | route | sent                |
      | south, south, south, north  | any   | south, south, north |
      | south, north                | any   | south, north        |
      | south, south, south         | any   | south, south        |
      | south, south, south, north  | south | south, south        |

  Scenario: A rollout tests its version on endpoints where the calls may run
    Given a rollout of half of the calls, with its target in regions "south, north" and its baseline in "south, north"
    When the tenant makes 200 calls that are answered
    Then its calls reach the regions "north"
    And between 60 and 140 of the calls reach the target of the rollout

  Scenario Outline: Batches that bind to regions what can't be bound are refused
    Then a batch with <flaw> is refused because "<reason>"

    Examples:
      | flaw                                        | reason                                      |
      | an unknown region of a route                | no zone is in region east                   |
      | an unknown region of a tenant               | no zone is in region east                   |
      | an empty region of a route                  | empty region name                           |
      | an empty region of a tenant                 | empty region name                           |
      | a region twice                              | names a region twice                        |
      | an at-most-once route with regions          | stored in any region                        |
      | an at-most-once route beside a bound tenant | stored in any region, but tenant t is bound |

  Scenario: Sound batches with regions are accepted
    Then a batch with known regions is accepted
    And a batch with a public at-most-once route beside a bound tenant is accepted
    And without zones in the settings any region is accepted, but no empty one

  Scenario Outline: Calls are counted by where they were sent
    Then calls to an endpoint in region "<region>" and zone "<zone>" are counted as "<place>"

    Examples:
      | region | zone | place        |
      | south  | s1   | own-zone     |
      | south  | s2   | own-region   |
      | north  | n1   | other-region |
      | -      | x1   | none         |

  Scenario: The log tells how many calls left the region, without a line for each
    Given a proxy of region south with endpoints in regions "north", a route bound to "any" and a tenant bound to "any"
    When the tenant makes 30 calls that are answered
    Then the proxy logs the calls that left its region once in 10 seconds, with their number
