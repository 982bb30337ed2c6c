Feature: Bad input on links gets a clear error, costs bounded memory and loses nothing

  Scenario Outline: An unknown or malformed opening is refused before the core hears of it
    Given a link server
    When a stranger opens a link with <opening>
    Then the link server answers the hello with <kind>
    And the link server logs 1012 with kind <kind>
    And the link server's core has heard of no link
    And the link server still serves a member

    Examples:
      | opening                   | kind               |
      | bytes that do not parse   | protocol-violation |
      | a length over the limit   | message-too-large  |
      | a length over 16 KiB      | message-too-large  |
      | an unknown frame body     | protocol-violation |
      | an empty frame            | protocol-violation |
      | another message           | protocol-violation |
      | an unknown protocol       | protocol-violation |
      | an unknown credential     | unauthenticated    |
      | another role's credential | unauthenticated    |
      | an unknown role           | unauthenticated    |
      | a purpose not served      | permission-denied  |
      | an unknown purpose        | permission-denied  |
      | a compressed bomb         | message-too-large  |
      | a bomb of unstated size   | protocol-violation |
      | a bomb in a bomb          | protocol-violation |
      | no hello at all           | protocol-violation |
      | half a hello              | protocol-violation |

  Scenario Outline: A member's malformed frame closes its link and no other
    Given a link server
    And a member's link to the link server
    When another member sends <frame>
    Then the link server closes the other member's link
    And the link server logs 1014 with kind <kind>
    And the member's own link still carries every message

    Examples:
      | frame                   | kind               |
      | bytes that do not parse | protocol-violation |
      | a length over the limit | message-too-large  |
      | an unknown frame body   | protocol-violation |
      | an empty frame          | protocol-violation |
      | a compressed bomb       | message-too-large  |
      | a bomb of unstated size | protocol-violation |
      | a bomb in a bomb        | protocol-violation |

  Scenario: Fields of a later version are passed over
    Given a link server
    When a member of a later version opens a link and sends 5 messages
    Then the link server's core has the other member's 5 messages

  Scenario: A purpose that ends while a peer says its hello is refused, and ends nothing else
    Given a link server
    And a member's link to the link server
    When another connection opens, and the purpose of its coming hello ends meanwhile
    Then that hello is refused as permission-denied
    And the link server still has the member's link

  Scenario: A machine that is gone without a word does not hold its link for ever
    Given a link server
    And a member's link to the link server
    Then both ends of a link ask a silent machine for a sign of life
    And both ends of a link give up bytes that are not acknowledged in the time of their settings

  Scenario: What came before a malformed frame is not lost
    Given a link server
    When another member sends 5 messages and then bytes that do not parse
    Then the link server's core has the other member's 5 messages

  Scenario: Many small frames that inflate within the limit are taken one at a time
    Given a link server
    When another member sends 40 frames at once that inflate to 15 MiB each
    Then the link server's core has the other member's 40 messages
    And the link server grew by less than 150 MiB meanwhile

  Scenario: Half-open connections end in time and cost bounded memory
    Given a link server with 64 connections
    When 64 strangers each send 16000 bytes of a hello that never ends
    Then the link server closes all of these strangers
    And the link server grew by less than 20 MiB meanwhile
    And the link server still serves a member

  # Connections that say no hello would take the places of members for as long as they come again.
  Scenario: Strangers without a hello make room for each other and for members, the oldest first
    Given a link server with 64 connections, 3 of which may be without a hello
    When 5 strangers connect one after the other and say nothing
    Then the link server has closed the first 2 strangers without an answer
    And the link server logs 1035
    And the link server still serves a member
    And the last 2 strangers get an answer when their time is over

  Scenario: A peer that reads too slowly is cut off at the bound, the others go on
    Given a link server
    And a member's link to the link server
    When another member reads nothing while the core sends it 40 MiB
    Then the link server logs 1015
    And the link server's core hears that the slow link is closed
    And the member's own link still carries every message

  Scenario: A connection over the limit is closed with an event, and gets in when one has left
    Given a link server with 2 connections
    And 2 members' links to the link server
    When one stranger too many connects
    Then the link server logs 1030
    When a member's link is closed
    Then the link server still serves a member
