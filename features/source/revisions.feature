Feature: Revisions replace the whole configuration under the operator's own number

  Scenario: Any order of sendings and resends takes each revision once
    Given any sendings of revisions, each number is taken once and on top of the current one

  Scenario: A resend long after later revisions is acknowledged again
    Given a state with revisions 1 to 300
    When revision 7 is sent again as it was
    Then it is accepted as repeated and revision 300 stays
    When revision 7 is sent again with other content
    Then it is refused as a conflict and revision 300 stays

  Scenario: What a replacement leaves out is deleted
    Given a state with revisions 1 to 3
    Then the state holds the services of revision 3 and no other

  Scenario: A replacement that does not hold together changes nothing
    Given a state with revisions 1 to 3
    When revision 4 routes to a service that it lacks
    Then it is refused and revision 3 stays
    When revision 4 is sent
    Then it is accepted

  Scenario Outline: A replacement's shape is checked
    Then a replacement with <problem> is refused naming "<field>"

    Examples:
      | problem                       | field      |
      | a number not above its base   | revision   |
      | a request id                  | request_id |
      | a part of weight 0            | split      |
      | a split beside a service      | service    |
      | a host in capitals            | host       |
