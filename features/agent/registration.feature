Feature: An agent keeps its back end registered at a relay of its zone

  Scenario: A cold back end is registered once a health probe passes
    Given an agent beside a cold back end
    Then no relay has been dialled by the agent
    When a health probe passes
    Then a relay has been dialled by the agent

  Scenario: A health probe that never passes only delays the registration
    Given an agent beside a cold back end
    When 31 seconds pass at the agent
    Then a relay has been dialled by the agent

  Scenario: The first listed relay is tried first
    Then agents with any random seed dial the first listed relay

  Scenario: The lease is renewed at a third of its length
    Given a registration with relays A and B that holds a lease of 6 seconds
    When its next deadline comes
    Then 2 seconds have passed and the lease was renewed

  Scenario: The registration moves when its relay closes the connection
    Given a registration with relays A and B that holds a lease of 6 seconds
    When the connection to its relay closes and its next deadline comes
    Then the other relay is dialled

  Scenario: The registration moves when its relay stops answering
    Given a registration with relays A and B that holds a lease of 6 seconds
    When no renewal is answered for 12 seconds
    Then the other relay is dialled

  Scenario: The endpoint is registered again when its lease is lost
    Given a registration with relays A and B that holds a lease of 6 seconds
    When the relay says that the lease is lost
    Then the endpoint is registered again with a higher sequence

  Scenario: A relay's retry delay is respected
    Given a registration with relays A and B that holds a lease of 6 seconds
    When the relay asks for a retry after 5 seconds
    Then no relay is dialled within 5 seconds and one is dialled later
