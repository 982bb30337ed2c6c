Feature: The bodies that a process holds stay within one budget

  Scenario: Bursts of bodies of any size never exceed the budget, and none waits for ever
    Then drawn bodies are held within the budget, and all of them are taken in the end

  # A wait that is granted releases what had come with the head, and so grants others.
  Scenario: Uploads that began to arrive while they wait are all taken when there is room for them
    Given a budget of 200 MB for bodies of up to 64 MiB
    When 300 uploads of 200 kB wait of which 16 kB have arrived, and the room for all is released
    Then all of them are held, and nothing beyond them

  Scenario: Small bodies pass large ones that wait
    Given a budget of 200 MB for bodies of up to 64 MiB
    When 3 requests of 64 MB come to the proxy
    Then 1 of them is held, 1 waits and 1 is refused
    And a request of 60 kB is held

  Scenario Outline: What fills the room of one step leaves room for the next
    Given a budget of 177 MB for bodies of up to 64 MiB
    When bodies of 20 MB at the step "<step>" fill what they may
    Then a body of 20 MB is taken at the step "<next>"

    Examples:
      | step     | next     |
      | request  | call     |
      | call     | response |
      | response | answer   |

  Scenario: A body in chunks that has begun goes on before a new one
    Given a budget of 200 MB for bodies of up to 64 MiB
    When a body in chunks has 40 MB, another one of 64 MB waits, and the first goes on
    Then the body in chunks is read whole

  Scenario: A request whose body never comes gives its room to others
    Given a budget of 100 MB for bodies of up to 64 MiB
    When a request of 64 MB is announced of which nothing comes, and another one follows
    Then the other one is received within 3 seconds

  Scenario: A request that finds no room in its time is refused before its body is read
    Given a budget of 100 MB for bodies of up to 64 MiB
    When a request of 64 MB is held, and another one with 1 second to go follows
    Then the other one is refused after half a second, as overloaded

  Scenario: An agent requests no body for which it has no room
    Given an agent with a budget of 100 MB and a proxy
    When the agent gets the heads of 3 calls with bodies of 40 MB and 2 seconds to go
    Then 1 of these calls gets credit, 1 waits and 1 is refused as overloaded
    When the call with credit ends
    Then the waiting call gets credit

  Scenario: A body that finds no room at the agent in half of its time was not run
    Given an agent with a budget of 100 MB and a proxy
    When the agent gets the heads of 2 calls with bodies of 40 MB and 2 seconds to go
    And 1.1 seconds pass without an end of the first
    Then the second call is refused as overloaded, and never gets credit

  Scenario: An agent whose instance is gone leaves nothing in the budget of its process
    Given an agent with a budget of 100 MB and a proxy
    When the agent runs a call with a body of 40 MB, and sends a response of 20 MB
    And the agent's instance is gone
    Then nothing is held in the budget

  Scenario: A cancelled back-end client leaves nothing in the budget of its process
    When a back-end client is cancelled within a response of 20 MiB
    Then nothing is held in the budget

  Scenario: A proxy lets no answer come for which it has no room
    Given a proxy with a budget of 100 MB, which waits for 2 answers
    When both answers begin, each of 60 MB
    Then credit is given for the first answer only
    When the first answer has ended
    Then credit is given for the second answer

  Scenario: Nothing is read from a back end while there is no room for its response
    When a back end sends 2 responses of 20 MiB to an agent with a budget of 25 MB
    Then both responses are received, one after the other
