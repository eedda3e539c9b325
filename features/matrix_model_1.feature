@deployment
Feature: Fault matrix of model requests, part 1: admitted, reserved

  Scenario Outline: <fault> at the step <step>: the caller has the whole answer
    Given a model request at the step <step>
    When the fault strikes: <fault>
    Then the caller has the whole answer
    And the judge finds nothing wrong

    Examples:
      | step     | fault                                |
      | admitted | kill: prefill agent                  |
      | admitted | kill: decode agent                   |
      | admitted | kill: prefill engine                 |
      | admitted | kill: decode engine                  |
      | admitted | freeze: prefill agent                |
      | admitted | freeze: decode agent                 |
      | admitted | cut: gateway to prefill agent        |
      | admitted | cut: gateway to decode agent         |
      | admitted | cut: agent to agent                  |
      | admitted | cut: prefill agent to engine         |
      | admitted | cut: decode agent to engine          |
      | admitted | hold both: gateway to prefill agent  |
      | admitted | hold both: agent to agent            |
      | admitted | hold both: prefill agent to engine   |
      | admitted | hold both: decode agent to engine    |
      | admitted | hold back: gateway to decode agent   |
      | admitted | hold forth: gateway to prefill agent |
      | admitted | hold back: gateway to prefill agent  |
      | admitted | hold forth: decode agent to engine   |
      | admitted | hold back: decode agent to engine    |
      | admitted | hold forth: prefill agent to engine  |
      | admitted | hold back: prefill agent to engine   |
      | admitted | stall: link                          |
      | admitted | configuration: down                  |
      | admitted | configuration: stale                 |
      | admitted | older version: served                |
      | admitted | roll: same content                   |
      | admitted | roll: homes moved                    |
      | admitted | leaving: prefill                     |
      | admitted | leaving: decode                      |
      | admitted | planned stop: gateway                |
      | admitted | planned stop: prefill agent          |
      | admitted | planned stop: decode agent           |
      | reserved | kill: prefill agent                  |
      | reserved | kill: decode agent                   |
      | reserved | kill: prefill engine                 |
      | reserved | kill: decode engine                  |
      | reserved | freeze: prefill agent                |
      | reserved | freeze: decode agent                 |
      | reserved | cut: gateway to prefill agent        |
      | reserved | cut: gateway to decode agent         |
      | reserved | cut: agent to agent                  |
      | reserved | cut: prefill agent to engine         |
      | reserved | cut: decode agent to engine          |
      | reserved | hold both: gateway to decode agent   |
      | reserved | hold both: agent to agent            |
      | reserved | hold both: prefill agent to engine   |
      | reserved | hold both: decode agent to engine    |
      | reserved | hold forth: gateway to decode agent  |
      | reserved | hold back: gateway to decode agent   |
      | reserved | hold back: gateway to prefill agent  |
      | reserved | hold forth: decode agent to engine   |
      | reserved | hold back: decode agent to engine    |
      | reserved | hold forth: prefill agent to engine  |
      | reserved | hold back: prefill agent to engine   |
      | reserved | stall: link                          |
      | reserved | configuration: down                  |
      | reserved | configuration: stale                 |
      | reserved | older version: served                |
      | reserved | roll: same content                   |
      | reserved | roll: homes moved                    |
      | reserved | leaving: prefill                     |
      | reserved | leaving: decode                      |
      | reserved | planned stop: gateway                |
      | reserved | planned stop: prefill agent          |
      | reserved | planned stop: decode agent           |

  Scenario Outline: <fault> at the step <step>: the caller has one final answer
    Given a model request at the step <step>
    When the fault strikes: <fault>
    Then the caller has one final answer
    And the judge finds nothing wrong

    Examples:
      | step     | fault           |
      | admitted | freeze: gateway |
      | reserved | freeze: gateway |

  Scenario Outline: <fault> at the step <step>: the caller has left
    Given a model request at the step <step>
    When the fault strikes: <fault>
    Then the caller has left
    And the judge finds nothing wrong

    Examples:
      | step     | fault          |
      | admitted | kill: gateway  |
      | admitted | caller: leaves |
      | reserved | kill: gateway  |
      | reserved | caller: leaves |
