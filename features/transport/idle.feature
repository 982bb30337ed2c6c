Feature: A connection's idle time counts only while no request on it is under way

  Scenario: A request under way outlives the idle time, which counts anew from its answer
    When a connection of 5 idle seconds carries a request of 20 seconds that begins after 3
    Then the connection's answer came at 23 seconds and its end at 28

  Scenario: Each request begins the idle time anew
    When a connection of 5 idle seconds carries requests of 0 seconds that begin after 3 and 7
    Then the connection's answers came at 3 and 7 seconds and its end at 12

  Scenario: A connection that carries nothing ends
    When a connection of 5 idle seconds carries no request
    Then the connection's end came at 5 seconds
