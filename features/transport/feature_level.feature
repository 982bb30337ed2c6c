Feature: Both ends of a link learn the other's feature level

  A level that is lost on the way would send a build records that it misreads.

  Scenario Outline: The accepting side learns what the hello states, and states its own level
    Given a link server
    When a member whose hello states <stated> opens a link to it
    Then the link server's core was told of a peer of level <level>
    And the answer to that hello states this build's level

    Examples:
      | stated        | level |
      | level 1       | 1     |
      | level 2       | 2     |
      | level 7       | 7     |
      | no level      | 0     |

  Scenario Outline: The dialling side learns what the answer states, and states its own level
    Given a listener whose answer to a hello states <stated>
    When this build dials that listener
    Then the dialled link has a peer of level <level>
    And the hello that the listener read states this build's level

    Examples:
      | stated        | level |
      | level 1       | 1     |
      | no level      | 0     |

  Scenario: The level that a batch needs
    Then batches need these levels
      | batch                           | level |
      | nothing                         | 0     |
      | a service put                   | 0     |
      | a service and a zone drain put  | 1     |
      | a route deleted                 | 0     |
      | a zone drain deleted            | 1     |
