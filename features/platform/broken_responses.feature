@fleet
Feature: What an instance breaks off, or what is no response, reaches no caller as an answer
  A request that may not be repeated is sent on each time, and its caller is told that the outcome is not known.

  Scenario Outline: A head that is cut, <parts>, is no answer with an empty or short body
    Given a control process and a node of the platform whose instance breaks its responses
    When callers are sent each of four heads cut at each seventh byte and near its end, <parts>, and then a <end>
    Then each request reached the instance once, and was answered 502 with an unknown outcome, before its deadline
    And the sound requests in between were answered whole

    Examples: Parts and ends
      | parts          | end   |
      | in one piece   | close |
      | in one piece   | reset |
      | byte by byte   | close |
      | byte by byte   | reset |

  Scenario: Bodies that are cut, and what is no response, are no answers
    Given a control process and a node of the platform whose instance breaks its responses
    When callers are sent each of these responses
      | response                                       |
      | a body shorter than its length, then a close   |
      | a body shorter than its length, then a reset   |
      | chunks without the last, then a close          |
      | chunks without the last, then a reset          |
      | a body without length, then a reset            |
      | status 000 and a body                          |
      | status 000 and a body, then a sound response   |
      | status 099 and a body                          |
      | status 600 and a body                          |
      | version 0.9                                    |
      | another protocol                               |
      | 100 Continue whose body is a sound response    |
      | status 101                                     |
    Then each request reached the instance once, and was answered 502 with an unknown outcome, before its deadline
    And the sound requests in between were answered whole
