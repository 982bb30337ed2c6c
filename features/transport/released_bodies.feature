Feature: What was received is released at once, not by the garbage collector

  Scenario Outline: An instance's response is not kept after its call
    When an agent reads <count> responses of 1 MiB that are <kind>, without garbage collections
    Then no object that awaits a collection holds a body

    Examples:
      | count | kind                        |
      | 5     | complete                    |
      | 5     | in chunks                   |
      | 5     | without a length            |
      | 5     | broken off                  |
      | 5     | longer than the limit       |
      | 5     | later than the deadline     |
      | 5     | earlier than the whole call |

  Scenario Outline: A caller's request is not kept after its connection
    When <count> callers <act>, without garbage collections
    Then no object that awaits a collection holds a body
    And no object of a connection awaits a collection

    Examples:
      | count | act                                  |
      | 5     | send requests of 1 MiB and leave     |
      | 5     | leave within a body of 1 MiB         |
      | 5     | send a body over the limit           |
      | 5     | leave before they have read 4 MiB    |
      | 5     | send a chunked body of 1 MiB         |

  # Connections of clients that come and go would fill the memory until a collection of old objects.
  Scenario Outline: Nothing of a connection over HTTP/2 is kept after its end
    When <count> callers <act>, without garbage collections
    Then no object of a connection awaits a collection

    Examples:
      | count | act                                     |
      | 5     | are served over HTTP/2 and leave        |
      | 5     | leave within requests over HTTP/2       |
      | 5     | exceed the limit on headers over HTTP/2 |
      | 5     | break a frame over HTTP/2               |
