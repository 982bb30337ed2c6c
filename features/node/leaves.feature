Feature: A node acknowledges a leave once a relay has stored it

  # Guards against an acknowledgement that is lost with the node, as only its memory holds the leave.
  Scenario Outline: How long the response to a leave waits, and what it is
    Given a node whose relay stores a leave <stored>, and that <stops>
    When its instance says that it leaves
    Then the leave is <answer> after <seconds> s

    Examples:
      | stored          | stops       | answer        | seconds |
      | after 0.1 s     | runs on     | acknowledged  | 0.1     |
      | after 0.1 s     | is stopping | acknowledged  | 0.1     |
      | after 0.8 s     | runs on     | refused       | 0.5     |
      | never           | runs on     | refused       | 0.5     |
      | never           | is stopping | refused       | 0.5     |

  # Guards against a leave that a node acknowledged while it reached no relay, and that no relay ever hears of.
  Scenario: A leave is reported until a relay has stored it
    Given a node's proxy without a relay
    When its instance has left
    Then nothing is reported
    When the proxy subscribes to a relay of feature level 3
    Then the leave is reported on that link once
    When that link is lost, and the proxy subscribes to a relay of feature level 2
    Then nothing is reported on that link
    When that link is lost, and the proxy subscribes to a relay of feature level 3
    Then the leave is reported on that link once
    When that relay confirms it
    Then the node hears that it is stored
    When that link is lost, and the proxy subscribes to a relay of feature level 3
    Then nothing is reported on that link
