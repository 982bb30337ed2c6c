@crowd
Feature: Clients outside the limits end no process

  The connections are few, as the settings state a machine with little memory.

  Scenario Outline: Heads of many short fields end no process
    Given a control process and a node of the platform with 100 MB each
    When <count> connections send <form> to the listener for <listener>
    Then the process lives, within its memory and with at most 400 open descriptors
    And an ordinary request is answered

    Examples: Fields
      | count | form                                        | listener  |
      | 200   | short lines without end                     | callers   |
      | 200   | short lines in a head that does not end     | callers   |
      | 250   | different lines in a head that does not end | callers   |
      | 200   | short lines in whole heads                  | callers   |
      | 200   | whole heads one behind the other            | callers   |
      | 200   | short lines without end                     | operators |
      | 250   | short lines in a head that does not end     | operators |
      | 200   | whole heads one behind the other            | operators |
      | 200   | short lines without end                     | instances |
      | 200   | short lines without end                     | readiness |
      | 32    | short lines without end                     | metrics   |

  Scenario Outline: Heads without end and unread responses end no process
    Given a control process and a node of the platform with 100 MB each
    When <count> connections send <form> to the listener for <listener>
    Then the process lives, within its memory and with at most 400 open descriptors
    And an ordinary request is answered

    Examples: Other bytes
      | count | form                                  | listener  |
      | 100   | a value without end                   | callers   |
      | 100   | a target without end                  | callers   |
      | 40    | empty lines without end               | callers   |
      | 100   | requests whose responses are not read | callers   |
      | 100   | requests whose responses are not read | operators |
      | 32    | requests whose responses are not read | metrics   |

  Scenario Outline: Pipelined requests whose responses are not read end no process
    Given a control process and a node of the platform with 100 MB each
    And a configuration of 1500 routes in force
    When <count> connections send <form> to the listener for <listener>
    Then the process lives, within its memory and with at most 400 open descriptors
    And an ordinary request is answered

    Examples: Responses
      | count | form                                                    | listener  |
      | 200   | refused requests whose responses are not read           | callers   |
      | 1     | reads of the configuration whose responses are not read | operators |
