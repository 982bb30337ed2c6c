Feature: A body takes the memory of one copy at each step of its way

  Scenario Outline: The memory for a body of 32 MiB stays below that of a second copy
    Then <step> a body of 32 MiB takes less than 40 MiB

    Examples:
      | step                                            |
      | reading a request with                          |
      | reading a chunked request with                  |
      | reading a response with                         |
      | sending a slow back end a request with          |
      | assembling and starting a call with             |
      | assembling an answer with                       |
