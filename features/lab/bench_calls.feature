Feature: The experiments on calls work out what they claim

  Scenario: What groups are entitled to
    Then any offers and weights are divided by weighted max-min

  Scenario: Processor time a call is the slope over slices of time
    Given bench slices with 0, 100 and 200 calls, each call 700 us at the proxy and 600 us at agents
    Then the bench gives 700 us a call at the proxy and 600 us at the agent

  Scenario: Silent and late groups
    Given bench loads for weights small=1, large=5 and a capacity of 60 calls a second
    Then in one bench load group large is silent and group small offers more than the capacity
    And in one bench load group large begins when counting begins
    And an open loop without rate makes no calls

  Scenario: An open loop offers its rate, and counts only after its warm-up
    When open loop callers offer 200 calls a second for 5 seconds of virtual time after 2 of warm-up
    Then the open loop counted about 1000 calls, all of them broken for want of a back end
