Feature: Reconnects cost little, and a storm of them is spread

  Background:
    Given a source of configuration
    And the source holds
      | resource       | service | secrets |
      | service/orders |         |         |
      | secret/till    |         |         |
      | route/place    | orders  | till    |
    And a reader "proxy-1" of the services "orders"

  Scenario: A reader back at the version it held is sent no configuration
    When 1 seconds pass in the distribution
    And the link of "proxy-1" breaks
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" was sent 1 sets or deltas
    And an up-to-date reconnect costs the publisher less than 100 bytes

  Scenario: A reader hundreds of versions behind gets one merged delta
    When 1 seconds pass in the distribution
    And the link of "proxy-1" is cut without a word
    And the source makes 300 changes to the route "place" and its neighbours
    And the link of "proxy-1" is mended
    And 40 seconds pass in the distribution
    Then the reader "proxy-1" holds the source's version
    And the reader "proxy-1" was sent 2 sets or deltas

  Scenario: Beyond the window only what differs is sent
    Given a window of 4 versions at the source
    And a reader "proxy-3" of the services "orders"
    When 1 seconds pass in the distribution
    And the link of "proxy-3" is cut without a word
    And the source makes 40 changes to the route "place" and its neighbours
    And the link of "proxy-3" is mended
    And 40 seconds pass in the distribution
    Then the reader "proxy-3" holds the source's version
    And the reader "proxy-3" was asked for its inventory and sent no second snapshot

  Scenario: Beyond the bytes of the window only what differs is sent
    Given a window of 4096 bytes at the source
    And a reader "proxy-3" of the services "orders"
    When 1 seconds pass in the distribution
    And the link of "proxy-3" is cut without a word
    And the source makes 40 changes to the route "place" and its neighbours
    And the link of "proxy-3" is mended
    And 40 seconds pass in the distribution
    Then the reader "proxy-3" holds the source's version
    And the reader "proxy-3" was asked for its inventory and sent no second snapshot

  Scenario: Many large changes do not fill the memory of a publisher
    When 200 versions change each of 100 routes, with a window of 1 MB
    Then the former values that are kept are within the window
    And the last versions are still in the window, and the first ones are not

  Scenario: A reader at a version that the publisher skipped is asked what it holds
    Given a publisher that went from version 1 to 5 by two changes at once
    When a reader that saw the first of them at version 3 subscribes
    Then it is asked for its inventory

  Scenario: A storm is answered in turns
    Given a publisher that admits 100 subscribers a second with a burst of 50
    When 1000 subscribers with nothing held come at once and return when told
    Then all 1000 have been served after at most 20 seconds
    And no second saw more than 155 of them served

  Scenario: A storm of thousands at one relay is paced, and those turned away leave nothing behind
    Given a publisher that admits 400 subscribers a second with a burst of 800
    When 20000 subscribers with nothing held come at once and return when told
    Then all 20000 have been served after at most 60 seconds
    And no second saw more than 1210 of them served
    And nobody had to come more than 4 times
    And the publisher never kept a subscriber that it had turned away
    And all 20000 were served one and the same snapshot

  Scenario: A subscriber that does not acknowledge is not sent more and more
    When 1 seconds pass in the distribution
    And the disk of "proxy-1" stalls
    And the source makes 40 changes to the route "place" and its neighbours
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" was sent 5 sets or deltas
    When the disk of "proxy-1" goes on
    And 1 seconds pass in the distribution
    Then the reader "proxy-1" holds the source's version

  Scenario: A change alone goes out at once, those within the batch delay after it as one delta
    Given a batch delay of 0.5 seconds at the source
    And a reader "proxy-3" of the services "orders"
    When 1 seconds pass in the distribution
    And the source puts "route/first" to "orders" with the secrets "till"
    And 0.02 seconds pass in the distribution
    Then the reader "proxy-3" holds the source's version
    And the reader "proxy-3" was sent 2 sets or deltas
    When the source makes 10 changes to the route "place" and its neighbours
    And 0.45 seconds pass in the distribution
    Then the reader "proxy-3" was sent 2 sets or deltas
    When 0.1 seconds pass in the distribution
    Then the reader "proxy-3" was sent 3 sets or deltas
    And the reader "proxy-3" holds the source's version

  Scenario: A planned stop moves subscribers at once
    Given a reader "proxy-4" that may choose of "source, source-2" and uses "orders"
    When 1 seconds pass in the distribution
    And the publisher of "proxy-4" stops as planned
    And 0.5 seconds pass in the distribution
    Then the reader "proxy-4" follows a publisher that is current

  Scenario: Backoff honours the server's advice and spreads a herd
    Then delays stay between the advice and the advice with the bound on top
