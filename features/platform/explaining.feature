@fleet
Feature: On the platform's processes, from the id of a failed request to its cause

  Scenario: The whole path, and three kinds of failed requests
    Given a control process and a node of the platform beside a back end with 1 slot
    When the platform's configuration is put and the back end reports itself
    Then a request through the node is answered by the back end, with the caller's service told
    And the configuration is read back as it was put

    When more slow requests come than the slot can serve in time
    Then one of them is refused with a time to come back, before its time is over
    And its id leads to "call-not-served" with the kinds "deadline-too-short, overloaded"

    When the back end closes the connection on a request that may not run twice
    Then that request is answered 502 or 504 and reached the back end once
    And its id leads to "call-not-served" with the kinds "backend-failed"

    When a request comes for a route that the configuration dropped
    Then that request is answered 404
    And its id leads to "call-failed" with the kinds "no-route"

    When the control process is held up and the back end says that it leaves
    Then a request is refused as not run, and none reaches the back end any more
    And its id leads to "call-not-served" with the kinds "draining"

    When the control process goes on, until requests find no endpoint
    Then a request is refused as not run, and none reaches the back end any more
    And its id leads to "call-failed" with the kinds "no-endpoint"

    When the node is asked to stop
    Then it is not ready at once, and ends by itself with status 0
