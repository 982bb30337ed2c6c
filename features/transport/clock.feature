Feature: A process's clock counts the time for which its machine was suspended

  Scenario: Deadlines that passed during a suspension are noticed soon
    Given a clock that jumps ahead by 60 seconds while a process waits
    When the process waits for 30 seconds
    Then it goes on within 0.5 seconds of its own, and 60 seconds later by its clock

  Scenario: Without a suspension it runs as the system's steady clock does
    Given a process that waits for 0.2 seconds by the clock of processes
    Then it has waited for 0.2 seconds by the system's steady clock
