Feature: A process that cannot go on says why and exits with 1

  Scenario Outline: An address in use ends the process with the address and the reason
    Given a relay's settings whose <listener> is in use
    When that relay is run
    Then that process exits with 1
    And that process logs 1004 naming the address in use
    And that process prints no traceback

    Examples:
      | listener       |
      | admin listener |
      | link listener  |

  Scenario: A settings file of another role is refused before the process starts
    Given a relay's settings whose link listener is in use
    When that relay's settings are given to an agent
    Then that process exits with 1
    And that process prints that the settings are of role "relay", this process is "agent"
    And that process prints no traceback

  Scenario: A second process on the same data folder is refused
    Given a relay's settings whose data folder another process holds
    When that relay is run
    Then that process exits with 1
    And that process logs 1004 naming the data folder in use
    And that process prints no traceback

  Scenario: A log file that cannot be written is named
    Given a relay's settings whose log file cannot be opened
    When that relay is run
    Then that process exits with 1
    And that process prints that log.file cannot be written
    And that process prints no traceback

  Scenario Outline: An internal fault is a numbered event with the end of its traceback
    When a role with a fault in its <place> is run
    Then that process exits with 1
    And that process logs 1040 with the line at fault
    And that process logs 1004 as internal
    And that process prints no traceback

    Examples:
      | place                         |
      | core                          |
      | main                          |
      | HTTP caller                   |
      | deadline after an HTTP caller |

  Scenario: A link that is lost as the process ends is no fault of the program
    Symptom: a planned stop logged an internal fault, and ended with status 1 at times. Sequence: a runner was
    cancelled, its links closed, and the core asked for another. Cause: the dial was started in a nursery that had
    ended. What settled it: RuntimeError, "Nursery is closed to new arrivals", in the logs of four stops of one run.
    When a link is lost just as the runner of a core that dials anew has ended
    Then that runner has reported no fault

  Scenario: A process whose stop has begun does not turn ready
    When a process is said to be ready after its stop began
    Then that process does not say that it is ready

  Scenario: A process that is aborted answers whoever waits before it cancels its tasks
    When a process with a callback for its abortion is aborted
    Then that callback was called once, before anything was cancelled

  Scenario Outline: A second SIGTERM changes nothing until the process has gone
    Symptom: a control process ended a planned stop with status -15. Sequence: SIGTERM, and again 0.30 s later (soak of
    kept connections, seed 416). Cause: trio gives the signals back as the event loop ends, so that from then on a
    second SIGTERM ended the process by the signal. What settled it: process-stopping without process-stopped.
    When a role with a second SIGTERM at <place> is run
    Then that process exits with 0

    Examples:
      | place              |
      | the loop's end     |
      | the process's exit |
