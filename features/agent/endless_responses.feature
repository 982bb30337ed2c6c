Feature: A response that does not end costs an agent neither its memory nor the call's time

  Scenario Outline: What cannot become a response is given up at once
    When an instance sends <part> without end, as fast as it is taken
    Then the endless response has failed within 3 seconds, long before the deadline
    And the instance's connection was closed after <most> MiB at most

    Examples:
      | part                         | most |
      | a body until the close       | 8    |
      | a body in chunks             | 8    |
      | a body of 99999999999 bytes  | 4    |
      | header fields                | 4    |
      | one header's value           | 4    |
      | one header's name            | 4    |
      | a reason phrase              | 4    |
      | a chunk extension            | 4    |
      | trailers                     | 4    |
      | one trailer's value          | 4    |
      | informational responses      | 4    |
      | bytes that begin no response | 4    |

  Scenario Outline: What comes a byte at a time ends with the call's deadline
    When an instance sends <part> without end, a byte at a time
    Then the endless response has failed at the deadline

    Examples:
      | part                   |
      | a body until the close |
      | one header's value     |
      | a chunk extension      |

  Scenario: A large head within the limit, and small chunks, are a response
    Then a response with a head of 60 kB and 5000 chunks of one byte is read whole

  Scenario Outline: A request is refused when its chunks or trailers do not end
    When a client sends <part> without end in a request
    Then that request is refused as headers-too-large

    Examples:
      | part                |
      | a chunk extension   |
      | trailers            |
      | one trailer's value |
