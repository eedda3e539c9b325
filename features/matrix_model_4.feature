@deployment
Feature: Fault matrix of model requests, part 4: decoding, releasing

  Scenario Outline: <fault> at the step <step>: the caller has the whole answer
    Given a model request at the step <step>
    When the fault strikes: <fault>
    Then the caller has the whole answer
    And the judge finds nothing wrong

    Examples:
      | step      | fault                                |
      | decoding  | kill: prefill agent                  |
      | decoding  | kill: decode agent                   |
      | decoding  | kill: prefill engine                 |
      | decoding  | kill: decode engine                  |
      | decoding  | freeze: prefill agent                |
      | decoding  | freeze: decode agent                 |
      | decoding  | cut: gateway to prefill agent        |
      | decoding  | cut: gateway to decode agent         |
      | decoding  | cut: agent to agent                  |
      | decoding  | cut: prefill agent to engine         |
      | decoding  | cut: decode agent to engine          |
      | decoding  | hold both: gateway to prefill agent  |
      | decoding  | hold both: gateway to decode agent   |
      | decoding  | hold both: agent to agent            |
      | decoding  | hold both: prefill agent to engine   |
      | decoding  | hold both: decode agent to engine    |
      | decoding  | hold forth: gateway to decode agent  |
      | decoding  | hold back: gateway to decode agent   |
      | decoding  | hold forth: gateway to prefill agent |
      | decoding  | hold back: gateway to prefill agent  |
      | decoding  | hold forth: decode agent to engine   |
      | decoding  | hold back: decode agent to engine    |
      | decoding  | hold forth: prefill agent to engine  |
      | decoding  | hold back: prefill agent to engine   |
      | decoding  | stall: link                          |
      | decoding  | configuration: down                  |
      | decoding  | configuration: stale                 |
      | decoding  | older version: served                |
      | decoding  | roll: same content                   |
      | decoding  | roll: homes moved                    |
      | decoding  | leaving: prefill                     |
      | decoding  | leaving: decode                      |
      | decoding  | planned stop: gateway                |
      | decoding  | planned stop: prefill agent          |
      | decoding  | planned stop: decode agent           |
      | releasing | kill: gateway                        |
      | releasing | kill: prefill agent                  |
      | releasing | kill: decode agent                   |
      | releasing | kill: prefill engine                 |
      | releasing | kill: decode engine                  |
      | releasing | freeze: gateway                      |
      | releasing | freeze: prefill agent                |
      | releasing | freeze: decode agent                 |
      | releasing | cut: gateway to prefill agent        |
      | releasing | cut: gateway to decode agent         |
      | releasing | cut: agent to agent                  |
      | releasing | cut: prefill agent to engine         |
      | releasing | cut: decode agent to engine          |
      | releasing | hold both: gateway to prefill agent  |
      | releasing | hold both: gateway to decode agent   |
      | releasing | hold both: agent to agent            |
      | releasing | hold both: prefill agent to engine   |
      | releasing | hold both: decode agent to engine    |
      | releasing | hold forth: gateway to decode agent  |
      | releasing | hold back: gateway to decode agent   |
      | releasing | hold forth: gateway to prefill agent |
      | releasing | hold back: gateway to prefill agent  |
      | releasing | hold forth: decode agent to engine   |
      | releasing | hold back: decode agent to engine    |
      | releasing | hold forth: prefill agent to engine  |
      | releasing | hold back: prefill agent to engine   |
      | releasing | stall: link                          |
      | releasing | configuration: down                  |
      | releasing | configuration: stale                 |
      | releasing | older version: served                |
      | releasing | roll: same content                   |
      | releasing | roll: homes moved                    |
      | releasing | leaving: prefill                     |
      | releasing | leaving: decode                      |
      | releasing | planned stop: gateway                |
      | releasing | planned stop: prefill agent          |
      | releasing | planned stop: decode agent           |

  Scenario Outline: <fault> at the step <step>: the caller has one final answer
    Given a model request at the step <step>
    When the fault strikes: <fault>
    Then the caller has one final answer
    And the judge finds nothing wrong

    Examples:
      | step     | fault           |
      | decoding | freeze: gateway |

  Scenario Outline: <fault> at the step <step>: the caller has left
    Given a model request at the step <step>
    When the fault strikes: <fault>
    Then the caller has left
    And the judge finds nothing wrong

    Examples:
      | step     | fault          |
      | decoding | kill: gateway  |
      | decoding | caller: leaves |
