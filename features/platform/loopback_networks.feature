Feature: Tests of the platform's processes that run at once have networks of their own

  Scenario: Two that draw the same network
    When two tests draw a loopback network from the same numbers
    Then they get different ones
    When the first gives its network back and a third draws from the same numbers
    Then the third gets the network of the first
