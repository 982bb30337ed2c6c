Feature: Operators are answered while a replica starts and stops
  The replica's core ends 0.2 s after a planned stop began, and the interfaces before it serve a second longer. A request
  that waited there, or came then, had nobody to answer it, and its connection was closed at the end.

  Scenario: A write under way when the replica stops is answered as unknown, a read as not run
    Given a desk before a core that answers nothing
    When operators ask it for a write and a read, and the replica stops
    Then the write is answered with "write-unknown" and the read with "draining"

  Scenario: A request before the replica has started, or after it stopped, is refused at once
    Given a desk before no core
    Then a read there is answered with "draining"
