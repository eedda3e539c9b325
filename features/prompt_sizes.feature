Feature: Prompts of any size leave reservations and estimates of all routers sound

  Background:
    Given time and network are simulated with the seed "1"
    And a prefill engine "p"
    And a prefill engine "q"
    And a decode engine "d"
    And a decode engine "e"
    And 2 routers that hear each other

  # Guards against reservations of other routers that stay for good after a report of zeros.
  Scenario: Prompts without tokens leave no reservations behind
    Given a prefill takes 0.6 s
    When the first router gets 8 groups of 3 prompts, the first of each with 0 tokens, the others with 300
    Then all of the generations are served
    And 5 s later no router counts reservations

  # Guards against a prefill rate of 0, and against one learned from prompts too short to show it.
  Scenario Outline: After prompts of <tokens> tokens an ordinary prompt is placed as before
    Given a prefill takes <takes> s
    When the first router gets <count> prompts of <tokens> tokens, one after the other, then one of 900
    Then all of the generations are served
    And no estimated prefill rate is below 20000 tokens per second

    Examples:
      | tokens | count | takes |
      | 0      | 1     | 0     |
      | 0      | 20    | 0.02  |
      | 1      | 20    | 0.02  |
      | 10     | 20    | 0.02  |
      | 100    | 20    | 0.02  |
