Feature: The timer of a core's deadlines

  # A node sets a nearer deadline with most calls. To wake the timer's task for each, only so that
  # it sleeps again, costs a turn of the loop each.
  Scenario: A deadline that comes nearer is met without a turn for the news of it
    Given a timer that waits for second 10
    When the deadline becomes second 5, second 3 and second 2 within the first second
    Then the timer told of its deadline at second 2 alone
    And the timer's task ran at its start, at its deadline and at its end

  Scenario: A deadline that is put off is told of when it comes
    Given a timer that waits for second 2
    When the deadline becomes second 6 within the first second
    Then the timer told of its deadline at second 6 alone

  Scenario: A timer without a deadline waits for the first
    Given a timer that waits for nothing
    When the deadline becomes second 4 within the first second
    Then the timer told of its deadline at second 4 alone

  Scenario: A deadline that has passed and is kept lets other tasks run
    Given a timer whose deadline stays in the past
    When another task takes 20 turns
    Then the timer told of its deadline no more often than once for each of these turns

  Scenario: A timer that was stopped tells of no further deadline
    Given a timer that waits for second 2
    When the timer is stopped at second 1
    Then the timer's task has ended by second 3
