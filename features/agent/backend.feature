Feature: The agent's client tells whether any byte reached the back end

  Scenario Outline: Each attempt at a back end ends with one event
    When an attempt at a live back end asks for <target>
    Then the attempt has ended as <end>

    Examples:
      | target     | end                                  |
      | /ok        | answered 200                         |
      | /shed      | answered 503                         |
      | /slow      | deadline-exceeded after bytes        |
      | /cancelled | cancelled after bytes                |
      | /drop      | backend-failed after bytes           |
      | /big       | backend-failed after bytes           |
      | /refused   | backend-failed before any byte       |
