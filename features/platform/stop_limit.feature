@fleet
Feature: No caller is left without an answer when a node stops
  Symptom: a node that stopped under load closed two uploads' connections without an answer, 5.11 s after it was asked
  to. Sequence: the uploads came whole 1.2 s before the stop; half a second before the stop limit the node asked the
  agents to give back what had not begun; at the limit both calls were still open. Cause: the limit cancelled all
  tasks, and nothing answered what was open. What settled it: with an agent that is held up, or an instance that takes
  longer than the stop, callers got not one byte before the close, and the log ended with stop-limit-passed; a second
  SIGTERM cut them at once.

  Scenario: Calls that are open at the end of a stop are answered
    Given a control process, and two nodes of the platform of which one has an instance
    When the other node is asked for two reads in a row that the instance holds, and to stop
    Then each of its callers is told that the outcome is not known, when the time is nearly over
    And that node ended by itself with status 0, within its limit

    When that node has started again
    And the other node is asked for an upload that the instance holds, and to stop 2 times
    Then each of its callers is told that the outcome is not known, when the time is nearly over
    And that node ended by itself with status 0, within its limit

    When that node has started again
    And the other node is asked for an upload of 6000 bytes while the instance's node is frozen, and to stop
    Then each of its callers is told that the outcome is not known, when the time is nearly over
    And that node ended by itself with status 0, within its limit

    When that node has started again
    And the other node is asked for an upload of 60000 bytes while the instance's node is frozen, and to stop
    Then each of its callers is told that its call was not run, when the time is nearly over
    And that node ended by itself with status 0, within its limit

  Scenario: What comes late in a stop and need not end within it is refused truly at once
    An upload whose last byte came after the listener had closed was passed on, and cut off while its instance was at work.
    Given a control process, and two nodes of the platform of which one has an instance
    When callers begin uploads, the other node is asked to stop, and their last bytes come 1.3 seconds later
    Then the upload with 8000 ms left was refused at once as not run, and its connection closed
    And the upload with 900 ms left was answered by the instance
    And the instance has run no other upload
    And that node ended by itself with status 0, within its limit

  Scenario: A node that stops takes no call of others for its instance that it may have to cut off
    Given a control process, and two nodes of the platform of which one has an instance
    When the instance's node is asked to stop, and the other node for an upload that the instance would hold
    Then that upload was refused at once as not run, and the instance has not run it
    And the instance's node ended by itself with status 0

  Scenario: A node that is held up over its limit still answers its callers
    A process that was held up finds all its deadlines passed at once. The last answers came from a task beside the one
    that cut everything off: 2 of 8 runs left the caller without a byte.
    Given a control process, and two nodes of the platform of which one has an instance
    When the other node is asked for an upload that the instance holds, and to stop, and is frozen over its limit
    Then each of its callers is told that the outcome is not known, when the time is nearly over
    And that node ended by itself with status 0

  Scenario: A call that may not be repeated has its time though its caller has left
    Given a control process, and two nodes of the platform of which one has an instance
    When the caller of an upload that the instance holds leaves, and the other node is asked to stop
    Then that node goes on past the time in which it takes calls
    When the instance lets the upload go
    Then that node ended by itself with status 0, within its limit
    And it did not find a call open near its limit
