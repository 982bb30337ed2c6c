@fleet
Feature: A request that ends each back end that begins it is stopped by the fleet
  A read came again and again at nodes drawn at random, under a new id each time, and ended the process of each
  instance that began it. Nobody knew it again: every coming was routed as a new request, and its retry ended a second
  instance. Of a fleet of eight, 63 to 70 processes ended in 20 s, and the other callers lost half of their answers.
  What settled it: the agents' lines "call-not-served" with connection closed, each followed by "attempt-failed" with
  goes_on, at one node after the other, for as long as callers repeated it: 57 to 59 arrivals later than 3 s after the
  third crash.

  Scenario: A deadly request is known again at every node
    Given five control machines, and 8 nodes whose instances end under deadly requests
    When three callers repeat a deadly read for 12 seconds
    Then later than contact allows after its third crash, each was begun three times at most
    And its last answers came at once, and say that it was not run
    And no promise to the other callers was broken

  Scenario: Several deadly requests at once, of each kind, beside nodes that are killed
    Given five control machines, and 8 nodes whose instances end under deadly requests
    When a deadly read, write and upload are repeated for 10 seconds while nodes are killed
    Then later than contact allows after its third crash, each was begun three times at most
    And no promise to the other callers was broken

  Scenario: Deadly calls of instances, and deadly requests in pipelines and over HTTP/2
    Given five control machines, and 8 nodes whose instances end under deadly requests
    When deadly calls of instances, pipelined and HTTP/2 reads are repeated for 10 seconds
    Then 3 deadly requests were begun
    And later than contact allows after its third crash, each was begun three times at most
    And no promise to the other callers was broken

  Scenario: A deadly request while control machines stop by turns
    Given five control machines, and 8 nodes whose instances end under deadly requests
    When a deadly write is repeated for 10 seconds while control machines stop by turns
    Then later than contact allows after its third crash, each was begun three times at most
    And its last answers came at once, and say that it was not run
    And no promise to the other callers was broken

  Scenario: A sound request that is repeated while instances crash is served as before
    Given five control machines, and 8 nodes whose instances end under deadly requests
    When a sound read is repeated for 10 seconds while instances crash by themselves
    Then no node quarantined a request, and the sound read was never refused
