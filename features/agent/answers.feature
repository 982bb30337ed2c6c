Feature: An agent says truly what its back end's answer means

  Scenario Outline: An answer of another request, or a promise that was not made, is no answer
    Given a back end that answers with <answer>
    When an agent's back-end client sends it a request with the id "one"
    Then the attempt <ends>

    Examples:
      | answer                              | ends                               |
      | 200 and the id                      | is answered with 200               |
      | 200 and another id                  | fails as backend-failed, unknown   |
      | 200 and no id                       | fails as backend-failed, unknown   |
      | 503 and the id, not run             | fails as backend-refused, not run  |
      | 400 and the id, not run             | fails as backend-refused, not run  |
      | 421 and the id, not run             | fails as wrong-incarnation, not run |
      | 503 and the id                      | fails as backend-failed, unknown   |
      | 429 and the id                      | fails as backend-failed, unknown   |
      | 500 and the id                      | is answered with 500               |

  Scenario: A connection with an answer of another request is not used again
    Given a back end that answers with 200 and another id
    When an agent's back-end client sends it a request with the id "one"
    And an agent's back-end client sends it a request with the id "two"
    Then the back end has seen 2 connections

  Scenario: The mesh tells the back end instance, time and id
    Given a back end that answers with 200 and the id
    When an agent's back-end client sends it a request with the id "one"
    Then the back end was told the instance, the time left and the id, once each

  Scenario Outline: Which calls are refused for their expected wait
    Given a queue whose slots are full with calls of 600 ms, and 3 more calls of the group waiting
    Then a call of <service> ms with <target> ms to its target and <deadline> ms to its deadline is <fate>

    Examples:
      | service | target | deadline | fate    |
      | 600     | 900    | 5000     | refused |
      | 600     | 3000   | 5000     | taken   |
      | 600     | 3000   | 900      | refused |
      | 50      | 100    | 1000     | taken   |
      | 50      | 100    | 150      | refused |

  Scenario: Short calls of one route are not judged by the long calls of another
    Given a queue full with calls of 880 ms on route long, with 4 more waiting, after short calls of 55 ms
    When a call on route short with 200 ms to its target and 600 ms to its deadline is offered
    Then it is queued, and starts before the calls of route long

  Scenario Outline: Short calls count as short however many of them there are
    Given calls of 20 ms on one route and of 150 ms on another, <short> of 100 on the first
    Then a call of 20 ms that waits 60 ms is taken with 120 ms to its target and 400 to its deadline

    Examples:
      | short |
      | 50    |
      | 80    |
      | 95    |

  Scenario: A wait is expected with what more urgent calls take meanwhile
    Given a queue of 12 slots where calls of 20 ms that are more urgent hold 6 slots on average
    When calls of 150 ms with 500 ms to their target keep coming
    Then those that are taken start within 225 ms

  Scenario Outline: Which bytes are a whole answer, and whether their connection may go on
    When a back end answers a <method> with <bytes>
    Then the answer <is>, and its connection <goes on>

    Examples:
      | method | bytes                                       | is            | goes on        |
      | GET    | a length and the body                       | is whole      | may be kept    |
      | GET    | chunks                                      | is whole      | may be kept    |
      | GET    | chunks with a field behind them             | is whole      | may be kept    |
      | GET    | a length, the body and more                 | is whole      | is given up    |
      | GET    | a whole answer twice                        | is whole      | is given up    |
      | GET    | a length, the body and word of its close    | is whole      | is given up    |
      | GET    | the version 1.0                             | is whole      | is given up    |
      | GET    | no length, ended by a close                 | is whole      | is given up    |
      | GET    | no length, ended by a reset                 | is none       | is given up    |
      | GET    | half of the body, ended by a close          | is none       | is given up    |
      | GET    | half of the head, ended by a close          | is none       | is given up    |
      | GET    | half of a chunk, ended by a close           | is none       | is given up    |
      | GET    | a body over the limit                       | is none       | is given up    |
      | GET    | two lengths                                 | is none       | is given up    |
      | GET    | a coding that is not known                  | is none       | is given up    |
      | GET    | bytes that are not HTTP                     | is none       | is given up    |
      | GET    | another protocol                            | is none       | is given up    |
      | GET    | word to go on and then the answer           | is whole      | may be kept    |
      | GET    | no content                                  | is whole      | may be kept    |
      | HEAD   | a length and no body                        | is whole      | is given up    |

  Scenario: An answer that comes before the request was read is passed on at once
    When an attempt sends 8 MiB to a back end that answers first and reads nothing
    Then the attempt is answered with 200

  Scenario: Refused callers are told to come back one after the other
    Given a queue of 6 slots that is full of calls of 120 ms
    When 10 calls are refused at one moment
    Then each of them was told a later time than the one before, 80 ms later on average
    When no call is refused for 3 seconds and one is refused then
    Then that one was told as early a time as the first

  Scenario: Nobody is told to stay away for longer than an overload is foreseen
    Given a queue of 6 slots that is full of calls of 120 ms
    When 200 calls are refused at one moment
    Then none of them was told more than 2 seconds

  Scenario: Before any call was observed only a few wait
    Given a queue of 12 slots that has just begun
    When 100 calls with 400 ms to their target come at once
    Then 12 of them run, 6 wait and 82 were refused with a time to come back
    When the first of them ends after 200 ms
    Then a call with 400 ms to its target is judged by that

  Scenario: Calls without a target wait as before
    Given a queue of 12 slots that has just begun
    When 40 calls without a target come at once
    Then 12 of them run, 28 wait and 0 were refused with a time to come back
