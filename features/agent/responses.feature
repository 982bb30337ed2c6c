Feature: An agent classifies back end responses, and refuses calls that would wait too long

  Scenario Outline: A response to another request, or an unconfirmed refusal, is a failure
    Given a back end that answers with <answer>
    When an agent's back-end client sends it a request with the id "one"
    Then the attempt <result>

    Examples:
      | answer                              | result                             |
      | 200 and the id                      | is answered with 200               |
      | 200 and another id                  | fails as backend-failed, unknown   |
      | 200 and no id                       | fails as backend-failed, unknown   |
      | 503 and the id, not run             | fails as backend-refused, not run  |
      | 400 and the id, not run             | fails as backend-refused, not run  |
      | 421 and the id, not run             | fails as wrong-incarnation, not run |
      | 503 and the id                      | fails as backend-failed, unknown   |
      | 429 and the id                      | fails as backend-failed, unknown   |
      | 500 and the id                      | is answered with 500               |

  Scenario: A connection that carried a response to another request is not reused
    Given a back end that answers with 200 and another id
    When an agent's back-end client sends it a request with the id "one"
    And an agent's back-end client sends it a request with the id "two"
    Then the back end has seen 2 connections

  Scenario: The back end receives the instance, the time left and the request id
    Given a back end that answers with 200 and the id
    When an agent's back-end client sends it a request with the id "one"
    Then the back end was told the instance, the time left and the id, once each

  Scenario Outline: Calls are refused by their expected wait
    Given a queue whose slots are busy with calls of 600 ms, and 3 calls of the new call's group waiting
    Then a call of <service> ms with <target> ms to its target and <deadline> ms to its deadline is <result>

    Examples:
      | service | target | deadline | result   |
      | 600     | 900    | 5000     | refused  |
      | 600     | 3000   | 5000     | admitted |
      | 600     | 3000   | 900      | refused  |
      | 50      | 100    | 1000     | admitted |
      | 50      | 100    | 150      | refused  |

  Scenario: Service times are estimated separately for each route
    Given a queue whose slots are busy with calls of 880 ms on route long, with 4 more waiting, after short calls of 55 ms
    When a call on route short with 200 ms to its target and 600 ms to its deadline is offered
    Then it is queued, and starts before the calls of route long

  Scenario Outline: Short calls count as short even if most calls are short
    Given calls of 20 ms on one route and of 150 ms on another, <short> percent on the first
    Then a call of 20 ms that waits 60 ms is admitted with 120 ms to its target and 400 to its deadline

    Examples:
      | short |
      | 50    |
      | 80    |
      | 95    |

  Scenario: The expected wait includes slots taken by more urgent calls
    Given a queue of 12 slots where calls of 20 ms that are more urgent hold 6 slots on average
    When calls of 150 ms with 500 ms to their target keep arriving
    Then 90 percent of those that are admitted start within 225 ms

  Scenario Outline: Response parsing decides on completeness and connection reuse
    When a back end answers a <method> with <bytes>
    Then the response <result>, and its connection <reuse>

    Examples:
      | method | bytes                                       | result        | reuse          |
      | GET    | a length and the body                       | is complete   | is reusable    |
      | GET    | chunks                                      | is complete   | is reusable    |
      | GET    | chunks with a trailer field                 | is complete   | is reusable    |
      | GET    | a length, the body and more                 | is complete   | is closed      |
      | GET    | a complete response twice                   | is complete   | is closed      |
      | GET    | a length, the body and connection close     | is complete   | is closed      |
      | GET    | the version 1.0                             | is complete   | is closed      |
      | GET    | no length, ended by a close                 | is complete   | is closed      |
      | GET    | no length, ended by a reset                 | is rejected   | is closed      |
      | GET    | half of the body, ended by a close          | is rejected   | is closed      |
      | GET    | half of the head, ended by a close          | is rejected   | is closed      |
      | GET    | half of a chunk, ended by a close           | is rejected   | is closed      |
      | GET    | a body over the limit                       | is rejected   | is closed      |
      | GET    | two lengths                                 | is rejected   | is closed      |
      | GET    | an unknown transfer coding                  | is rejected   | is closed      |
      | GET    | bytes that are not HTTP                     | is rejected   | is closed      |
      | GET    | a protocol upgrade                          | is rejected   | is closed      |
      | GET    | 100 Continue and then the response          | is complete   | is reusable    |
      | GET    | no content                                  | is complete   | is reusable    |
      | HEAD   | a length and no body                        | is complete   | is closed      |

  Scenario Outline: What is no final response is neither passed on nor waited behind
    A head of status 000 passed for an informational one: its body was put before the next response's, under status 200.
    When an instance answers with <head> and a body, and nothing more
    Then the attempt fails as backend-failed, unknown
    And the instance's connection was closed at once

    Examples: Heads
      | head                           |
      | HTTP/1.1 000 Nothing           |
      | HTTP/1.1 099 Less              |
      | HTTP/1.1 600 More              |
      | HTTP/1.1 999 More              |
      | HTTP/0.9 200 OK                |
      | HTTP/2.0 200 OK                |
      | RTSP/1.0 200 OK                |
      | HTTP/1.1 100 Continue          |
      | HTTP/1.1 101 Switching         |
      | HTTP/1.1 103 Early Hints       |

  Scenario Outline: A response behind something that is none is not taken for the request's
    When a back end answers a <method> with <bytes>
    Then the response is rejected, and its connection is closed

    Examples: Bytes
      | method | bytes                                        |
      | GET    | status 000 and a body, then a response       |
      | GET    | status 000 without a body, then a response   |
      | HEAD   | status 000 without a body, then a response   |
      | HEAD   | status 999                                   |
      | GET    | 100 Continue, then status 000                |
      | GET    | 100 Continue whose body is a response        |
      | GET    | 100 Continue whose chunks are a response     |
      | GET    | status 101, then a response                  |

  Scenario Outline: A health probe takes no invalid response for a healthy instance
    Then a health probe that gets <head> finds the instance <state>

    Examples: Heads of health responses
      | head                 | state     |
      | HTTP/1.1 200 OK      | healthy   |
      | HTTP/1.0 200 OK      | healthy   |
      | HTTP/1.1 000 Nothing | unhealthy |
      | HTTP/0.9 200 OK      | unhealthy |
      | RTSP/1.0 200 OK      | unhealthy |

  Scenario: A response that arrives before the request was read is passed on immediately
    When an attempt sends 8 MiB to a back end that answers without reading it
    Then the attempt is answered with 200

  Scenario: Refused callers get successive retry times
    Given a queue of 6 slots that is full of calls of 120 ms
    When 10 calls are refused at the same time
    Then each of them got a later retry time than the one before, 80 ms later on average
    When no call is refused for 3 seconds and then one is refused
    Then that one got as early a retry time as the first

  Scenario: Retry times are bounded
    Given a queue of 6 slots that is full of calls of 120 ms
    When 200 calls are refused at the same time
    Then none of them got a retry time of more than 2 seconds

  Scenario: Only a few calls wait while the service time is unknown
    Given a new queue of 12 slots
    When 100 calls with 400 ms to their target arrive at once
    Then 12 of them run, 6 wait and 82 were refused with a retry time
    When the first of them ends after 200 ms
    Then a call with 400 ms to its target is refused for its expected wait

  Scenario: Calls without a target wait while the service time is unknown
    Given a new queue of 12 slots
    When 40 calls without a target arrive at once
    Then 12 of them run, 28 wait and 0 were refused with a retry time
