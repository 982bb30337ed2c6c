Feature: From a request's id to the line that decided its end

  Scenario Outline: <case>
    Given the logs of a proxy and two agents in which a request <case>
    When limelever explain is asked for that request
    Then it names the line <event> of <process> as the one that decided
    And it shows every line of that request and none of another

    Examples:
      | case                                  | event           | process |
      | is refused by agents that are full    | call-not-served | agent-2 |
      | may have run when its link was lost   | attempt-failed  | proxy   |
      | finds no route                        | call-failed     | proxy   |
      | is answered at the second agent       | call-answered   | proxy   |

  Scenario: A request that no log names
    Given the logs of a proxy and two agents in which a request finds no route
    When limelever explain is asked for another request
    Then it exits with 1 and says so

  # Guards against a refusal whose cause stands only in a line that names no request.
  Scenario: A request that is refused by the limit of its instance
    Given the logs of a proxy and two agents in which a request is refused by agents that are full
    And the logs of the agents hold a limit of agent-1, a leave of its instance, and a limit of agent-2 that ended
    When limelever explain is asked for that request
    Then what agent-1 believed holds the limit and the leave, and what agent-2 believed does not
