@deployment
Feature: What is told when an answer cannot be finished

  Scenario: Every decode agent dies after the prefill: the caller is not told that nothing ran
    Given a model request at the step prefilled
    When both decode agents are killed and the step goes on
    Then the caller has one final answer with the outcome unknown
    And nothing stays held

  Scenario: Every decode agent dies after the prefill and is replaced: the answer is done again
    Given a model request at the step prefilled
    When both decode agents are killed, the step goes on, and both are replaced
    Then the caller has the whole answer
    And nothing stays held

  Scenario: Every decode engine dies in mid-stream: one typed error is the final event
    Given a model request at the step decoding
    When both decode engines are killed and the step goes on
    Then the caller has one final event after the right beginning
    And nothing stays held

  Scenario: Every prefill agent is down before anything ran: the caller is told not_run at once
    When both prefill agents are killed
    And a caller streams 5 tokens through gateway-1
    Then the caller is refused with a time to come back

  Scenario: Two decode engines are lost one after the other
    Given a model request at the step decoding
    When the decode engine is killed twice, each time in mid-stream
    Then the caller has the whole answer
    And nothing stays held
