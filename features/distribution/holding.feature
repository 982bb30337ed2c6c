Feature: A subscriber holds a version whole or not at all, and never goes backward

  Background:
    Given a source of configuration
    And the source holds
      | resource       | service | secrets |
      | service/orders |         |         |
      | secret/till    |         |         |
      | route/place    | orders  | till    |

  Scenario Outline: What does not check out is refused whole, and a snapshot follows
    Given a reader "proxy-1" of the services "orders"
    When 1 seconds pass in the distribution
    And the next delta to "proxy-1" arrives <damage>
    And the source puts "route/refund" to "orders" with the secrets "till"
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" has refused 1 version
    And the reader "proxy-1" holds just "route/place, route/refund, secret/till, service/orders"

    Examples:
      | damage                    |
      | with a wrong digest       |
      | without one of its parts  |
      | with a dangling reference |

  Scenario: A version is not in force before its floor is synced
    Given a reader "proxy-1" of the services "orders"
    When 1 seconds pass in the distribution
    And the disk of "proxy-1" stalls
    And the source puts "route/refund" to "orders" with the secrets "till"
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" holds just "route/place, secret/till, service/orders"
    And the source counts 0 in force and 1 lagging for its version
    When the disk of "proxy-1" goes on
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" holds just "route/place, route/refund, secret/till, service/orders"
    And the source counts 1 in force and 0 lagging for its version

  Scenario: Killed with its floor synced, a reader accepts nothing lower
    Given a reader "proxy-1" of the services "orders"
    And a lagging source "source-old" that hears no change any more
    When 1 seconds pass in the distribution
    And the source puts "route/refund" to "orders" with the secrets "till"
    And 1 seconds pass in the distribution
    And the reader "proxy-1" is killed and starts again with only "source-old"
    And 10 seconds pass in the distribution
    Then the reader "proxy-1" holds nothing
    And the reader "proxy-1" was sent 0 sets or deltas
    When the reader "proxy-1" is killed and starts again with only "source"
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" has never gone backward
    And the reader "proxy-1" holds the source's version

  Scenario: A publisher that sends a lower version all the same is refused and left
    Given a reader "proxy-1" of the services "orders"
    When 1 seconds pass in the distribution
    And the source puts "route/refund" to "orders" with the secrets "till"
    And 1 seconds pass in the distribution
    And a snapshot of version 1 reaches "proxy-1"
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" has refused 1 version
    And the reader "proxy-1" has never gone backward
    And the reader "proxy-1" holds the source's version

  Scenario: A version that a heartbeat confirmed binds a restarted reader too
    Given a reader "proxy-1" of the services "orders"
    And a lagging source "source-old" that hears no change any more
    When 1 seconds pass in the distribution
    And the source puts "secret/unused" alone
    And 5 seconds pass in the distribution
    And the reader "proxy-1" is killed and starts again with only "source-old"
    And 10 seconds pass in the distribution
    Then the reader "proxy-1" holds nothing

  Scenario: Without a floor the first version must come from a publisher proved current
    Given a cut-off source "source-old" that cannot prove itself
    When the source puts "route/refund" to "orders" with the secrets "till"
    And a reader "proxy-1" starts with only "source-old"
    And 30 seconds pass in the distribution
    Then the reader "proxy-1" holds nothing
    When the reader "proxy-1" is killed and starts again with only "source"
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" holds the source's version

  Scenario: A publisher that grows stale is left, and what is held is kept
    Given a reader "proxy-1" that may choose of "source, source-2" and uses "orders"
    When 1 seconds pass in the distribution
    And the publisher of "proxy-1" is cut off from its majority
    And 12 seconds pass in the distribution
    Then the reader "proxy-1" follows a publisher that is current
    And the reader "proxy-1" holds the source's version
    When every publisher is cut off from its majority
    And 120 seconds pass in the distribution
    Then the reader "proxy-1" holds the source's version
    And the reader "proxy-1" has dialled at most 60 times

  Scenario: An answer's age counts, not its arrival
    Given a publisher that passes on what it heard from others
    When it was proved current at 10 seconds and is probed at 14 seconds
    Then the prober knows it to have been current at 10 seconds
    When it is probed for a proof up to the source at 15 seconds
    And it is proved current at 12 seconds again
    Then the probe up to the source is not answered
    When it is proved current at 16 seconds again
    Then the probe up to the source is answered

  Scenario: A silently cut link counts as a stale publisher
    Given a reader "proxy-1" that may choose of "source, source-2" and uses "orders"
    When 1 seconds pass in the distribution
    And the link of "proxy-1" is cut without a word
    And 12 seconds pass in the distribution
    Then the reader "proxy-1" follows a publisher that is current

  Scenario: A damaged floor file counts as a missing one
    Then floors are read back as written, and damaged ones as missing

  Scenario: Random cuts, restarts and lagging publishers never break what must hold
    Then in random runs no reader goes backward, dangles, or fails to catch up

  Scenario: A delta is checked by what it touches, with the result of a full check
    Then any deltas upon any set are taken or refused as a full check would
