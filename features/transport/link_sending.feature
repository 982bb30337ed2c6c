Feature: What a link sends at once, and what it leaves to its writing task

  Scenario: Nothing waits for the writing task while the system takes it
    When a link over a plain stream sends 3 messages before its writing task runs
    Then the link's peer had 3 messages before the writing task ran
    And the link's peer has 3 messages in order

  Scenario: Messages over another stream than a plain one are left to the writing task
    When a link over a wrapped stream sends 3 messages before its writing task runs
    Then the link's peer had 0 messages before the writing task ran
    And the link's peer has 3 messages in order

  Scenario: A peer that reads slowly gets every message whole and in order
    When a link sends 300 messages while its peer reads slowly
    Then the link's peer has 300 messages in order

  Scenario: What is waiting for a peer that reads nothing is bounded in bytes
    When a link sends to a peer that reads nothing until a message is one too many
    Then the bytes that wait in the link are over its bound by less than a message

  Scenario: Nothing follows a message that was cut off within its sending
    When a link's writing task is cancelled within a send and the link then flushes and closes
    Then the link's peer got the beginning of what was sent and nothing else

  Scenario: A peer that has left ends the writing task, and only that
    When a link sends 3 messages to a peer that has left
    Then the link's writing task has ended as broken

  Scenario: Messages that never left a lost link are told apart from those that may have
    Guards against reporting a call as unknown although its agent can't have received it.
    When a link is lost with 5 messages to a peer that reads nothing
    Then messages 1 to 4 are reported as unsent, and the peer has none of them

  Scenario: A link for other purposes than calls keeps only the frames of what it queues
    Guards against a stalled follower whose link holds a whole configuration for each queued frame.
    When a link of replication is lost with 5 messages to a peer that reads nothing
    Then no messages are kept beside their frames
