Feature: At most one claimant of an idempotency key holds a majority of keepers

  Scenario: The first claim is granted and a second one is told the outcome is not known
    Given 3 keepers that have formed
    When claimant "a" claims key "k"
    Then claimant "a" is granted
    When claimant "b" claims key "k"
    Then claimant "b" gets the failure "outcome-unknown"

  Scenario: A recorded answer is given to a resend
    Given 3 keepers that have formed
    When claimant "a" claims key "k"
    And claimant "a" records the answer "landed"
    And claimant "b" claims key "k"
    Then claimant "b" gets the recorded answer "landed"

  Scenario: A key reused for another call is refused
    Given 3 keepers that have formed
    When claimant "a" claims key "k"
    And claimant "a" records the answer "landed"
    And claimant "b" claims key "k" for another call
    Then claimant "b" gets the failure "idempotency-key-reused"

  Scenario: An answer too large to keep is said to have run
    Given 3 keepers that have formed
    When claimant "a" claims key "k"
    And claimant "a" records an answer over the limit
    And claimant "b" claims key "k"
    Then claimant "b" gets the failure "answer-not-kept"

  Scenario: A released claim may be taken by another
    Given 3 keepers that have formed
    When claimant "a" claims key "k"
    And claimant "a" releases its claim
    And claimant "b" claims key "k"
    Then claimant "b" is granted

  Scenario: A copy of a claim that arrives after its release is not granted
    Given 3 keepers that have formed
    And keeper 3 gets nothing
    When claimant "a" claims key "k"
    And claimant "a" releases its claim
    And keeper 3 gets what was held back, the claim last
    And claimant "b" claims key "k"
    Then claimant "b" is granted by 3 keepers

  Scenario: Without a majority nothing is granted and the caller is told when to come back
    Given 3 keepers that have formed
    And keeper 2 gets nothing
    And keeper 3 gets nothing
    When claimant "a" claims key "k"
    And 3 seconds pass
    Then claimant "a" gets the failure "keepers-unavailable"

  Scenario: Two claimants that split the votes are both refused
    Given 3 keepers that have formed
    And keeper 3 gets nothing
    When claimants "a" and "b" claim key "k" with one vote each
    And 3 seconds pass
    Then claimant "a" gets the failure "outcome-unknown"
    And claimant "b" gets the failure "outcome-unknown"

  Scenario: A grant outlives a crash of its keeper
    Given 3 keepers that have formed
    When claimant "a" claims key "k"
    And every keeper crashes and starts again
    And claimant "b" claims key "k"
    Then claimant "b" gets the failure "outcome-unknown"

  Scenario: A keeper that lost its disk does not vote before it has copied
    Given 3 keepers that have formed
    And keeper 3 gets nothing
    When claimant "a" claims key "k"
    And keeper 3 gets everything again
    And keeper 1 loses its disk and starts again
    And claimant "b" claims key "k"
    And 3 seconds pass
    Then claimant "b" gets the failure "outcome-unknown"

  Scenario: A second machine lost right after the repair brings no second run
    Given 3 keepers that have formed
    And keeper 3 gets nothing
    When claimant "a" claims key "k"
    And keeper 3 gets everything again
    And keeper 1 loses its disk and starts again
    And 15 seconds pass
    Then keeper 1 votes
    When keeper 2 is lost for good
    And claimant "b" claims key "k"
    And 3 seconds pass
    Then claimant "b" gets the failure "outcome-unknown"

  Scenario: A keeper that copied two tokens of one key gives neither its vote
    Given 3 keepers that have formed
    And keeper 3 gets nothing
    When claimant "a" claims key "k"
    Then claimant "a" is granted
    When keeper 3 gets everything again
    And keeper 1 loses its disk and starts again
    And keeper 1 gets no claims
    And 9 seconds pass
    And claimant "b" claims key "k"
    And 1.5 seconds pass
    Then keeper 1 votes
    When keeper 1 gets what was held back, the claim last
    And 3 seconds pass
    Then claimant "b" gets the failure "outcome-unknown"
    When claimant "c" claims key "k"
    And 3 seconds pass
    Then claimant "c" gets the failure "outcome-unknown"

  Scenario: A keeper that lost its disk waits out the claims that counted its vote
    Given 3 keepers that have formed
    And keeper 2 gets no claims
    And keeper 3 gets no claims
    When claimant "a" claims key "k"
    And keeper 1 loses its disk and starts again
    And 1 seconds pass
    And keeper 2 gets what was held back, the claim last
    Then claimant "a" is granted
    When keeper 3 gets everything again
    And claimant "b" claims key "k"
    And 3 seconds pass
    Then claimant "b" gets the failure "outcome-unknown"

  Scenario: A keeper beside others that never formed does not take them for survivors
    Given 3 keepers of which keeper 3 never started
    When 30 seconds pass
    Then no keeper votes

  Scenario: A full keeper grants nothing new
    Given 3 keepers with room for 1 claim
    When claimant "a" claims key "k"
    And claimant "b" claims key "other"
    Then claimant "b" gets the failure "keepers-unavailable"

  Scenario: No interleaving of claims, crashes and lost messages gives two majorities
    Then over many drawn histories at most one claimant of a key is ever granted between releases
