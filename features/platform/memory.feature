@fleet
Feature: No bodies that callers or instances send take a node over the memory of its machine

  Scenario: Ordinary downloads by one caller
    Given a control process and two nodes of the platform with 300 MB each
    When 1 caller downloads 4 MiB again and again for 6 seconds
    Then at least 20 downloads were served whole, and no other had a wrong status
    And no node was over 200 MB, nor over 60 MB in the end

  Scenario: A burst of large uploads, within the limit of a body
    Given a control process and two nodes of the platform with 300 MB each
    When 12 callers upload 20 MiB at once, 2 times
    Then each upload was served or truly refused, and some were served
    And no node was over 300 MB, nor over 60 MB in the end

  Scenario: Uploads of the largest body by several callers of one node
    Given a control process and two nodes of the platform with 300 MB each
    When 4 callers upload 64 MiB at once, 1 times
    Then each upload was served or truly refused, and some were served
    And no node was over 300 MB, nor over 60 MB in the end

  Scenario Outline: Answers of instances that do not end, of each kind, beside sound calls
    Given a control process and two nodes of the platform with 300 MB each
    When <callers> callers are sent answers without end for 8 seconds, as fast as taken, and others sound ones
    Then no answer without end was taken for a whole one
    And each kind was given up, those that are no bodies always before the deadline
    And sound calls were served in between
    And no node was over 300 MB, nor over 60 MB in the end

    Examples: Callers
      | callers |
      | 6       |
      | 48      |

  Scenario: Answers of instances that do not end, a byte at a time, beside sound calls
    Given a control process and two nodes of the platform with 300 MB each
    When 48 callers are sent answers without end for 8 seconds, a byte at a time, and others sound ones
    Then no answer without end was taken for a whole one
    And no node was over 300 MB, nor over 60 MB in the end
