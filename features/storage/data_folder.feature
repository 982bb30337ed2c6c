Feature: A disk gives back what was synced, or refuses to start

  Scenario: What was written is read back
    Given a data folder with 5 records and a file
    When a data folder's process is gone
    Then a data folder gives back 5 records and the file

  Scenario: A torn tail is cut
    Given a data folder with 5 records and a file
    When a data folder's process is gone
    And a data folder's log is cut by 3 bytes
    Then a data folder gives back 4 records and the file
    And a data folder gives back 4 records and the file

  Scenario: A tail of zeros is cut
    Given a data folder with 5 records and a file
    When a data folder's process is gone
    And a data folder's log grew by zeros that were never written
    Then a data folder gives back 5 records and the file

  Scenario Outline: Damage is refused
    Given a data folder with 5 records and a file
    When a data folder's process is gone
    And a data folder's <name> has one bit flipped in the middle
    Then a data folder refuses to open as data-damaged

    Examples:
      | name       |
      | log        |
      | files/vote |

  Scenario: Any of the writes since the last sync may be lost with the power, also those before others
    Given a data folder with 5 records and a file
    When a data folder's process is gone
    Then a data folder opens with its 5 records whichever of 3 later writes is lost before its sync

  Scenario: A log that is gone beside its files is refused
    Given a data folder with 5 records and a file
    When a data folder's process is gone
    And a data folder's log is removed
    Then a data folder refuses to open as data-damaged

  Scenario: A second process is refused
    Given a data folder with 1 records and a file
    Then a data folder refuses a second process as data-folder-in-use

  Scenario Outline: A full disk refuses and half-applies nothing
    Given a data folder with 5 records and a file
    When a data folder's disk is full after <bytes> more bytes
    Then a data folder's write is refused as disk-full
    Given a data folder's process is gone
    Then a data folder gives back 5 records and the file

    Examples:
      | bytes |
      | 0     |
      | 30    |
      | 70    |

  Scenario: A full disk leaves the old file in place
    Given a data folder with 2 records and a file
    When a data folder's disk is full while a file is replaced
    Then a data folder's write is refused as disk-full
    Given a data folder's process is gone
    Then a data folder gives back 2 records and the file

  Scenario Outline: What a full disk refused is taken once there is room
    Given a data folder with 5 records and a file
    When a data folder's disk is full after <bytes> more bytes of several writes
    Then a data folder's write is refused as disk-full
    When a data folder's disk is full all the time and gets the rest again
    Then a data folder's write is refused as disk-full
    When a data folder's disk has room again and gets the rest
    Then a data folder holds all of those writes once, also after its process is gone

    Examples:
      | bytes |
      | 0     |
      | 30    |
      | 70    |
      | 150   |

  Scenario Outline: A disk that fails does not pass for damaged contents
    Given a data folder with 5 records and a file
    And a data folder's process is gone
    Then a data folder that can't be read for <error> refuses to open as disk-failed
    And a data folder gives back 5 records and the file
    Given a data folder with 5 records and a file
    When a data folder's disk fails a sync by <error>
    Then a data folder's write is refused as disk-failed and every later one too

    Examples:
      | error  |
      | EIO    |
      | EACCES |

  # Guards against writes that are reported as synced although the sync that failed has lost them.
  Scenario: A sync that fails for want of room is final, as what it did not write may be gone
    Given a data folder with 5 records and a file
    When one sync of a data folder fails by ENOSPC
    Then a data folder's write is refused as disk-failed and every later one too

  # Guards against records that are written to a log which has no name any more.
  Scenario: A log that was replaced without its folder being synced takes no further record
    Given a data folder with 5 records and a file
    When the sync of a data folder itself fails by ENOSPC as its log is replaced
    Then a data folder's write is refused as disk-failed and every later one too

  Scenario: A log is cut, appended to and reset
    Given a data folder with 5 records and a file
    When a data folder's log is cut to 2 records, appended to and reset
    Then a data folder gives back 2 records and the file

  Scenario: Properties of the record format
    Then a log of records cut at any byte gives back the records before the cut
    And a log of records with any byte flipped is refused
    And a memory disk that crashes keeps what was synced and a prefix of the rest
