@deployment
Feature: Fault matrix of model requests, part 2: prefilling, prefilled

  Scenario Outline: <fault> at the step <step>: the caller has the whole answer
    Given a model request at the step <step>
    When the fault strikes: <fault>
    Then the caller has the whole answer
    And the judge finds nothing wrong

    Examples:
      | step       | fault                                |
      | prefilling | kill: prefill agent                  |
      | prefilling | kill: decode agent                   |
      | prefilling | kill: prefill engine                 |
      | prefilling | kill: decode engine                  |
      | prefilling | freeze: prefill agent                |
      | prefilling | freeze: decode agent                 |
      | prefilling | cut: gateway to prefill agent        |
      | prefilling | cut: gateway to decode agent         |
      | prefilling | cut: agent to agent                  |
      | prefilling | cut: prefill agent to engine         |
      | prefilling | cut: decode agent to engine          |
      | prefilling | hold both: gateway to prefill agent  |
      | prefilling | hold both: gateway to decode agent   |
      | prefilling | hold both: agent to agent            |
      | prefilling | hold both: prefill agent to engine   |
      | prefilling | hold both: decode agent to engine    |
      | prefilling | hold forth: gateway to decode agent  |
      | prefilling | hold back: gateway to decode agent   |
      | prefilling | hold forth: gateway to prefill agent |
      | prefilling | hold back: gateway to prefill agent  |
      | prefilling | hold forth: decode agent to engine   |
      | prefilling | hold back: decode agent to engine    |
      | prefilling | hold forth: prefill agent to engine  |
      | prefilling | hold back: prefill agent to engine   |
      | prefilling | stall: link                          |
      | prefilling | configuration: down                  |
      | prefilling | configuration: stale                 |
      | prefilling | older version: served                |
      | prefilling | roll: same content                   |
      | prefilling | roll: homes moved                    |
      | prefilling | leaving: prefill                     |
      | prefilling | leaving: decode                      |
      | prefilling | planned stop: gateway                |
      | prefilling | planned stop: prefill agent          |
      | prefilling | planned stop: decode agent           |
      | prefilled  | kill: prefill agent                  |
      | prefilled  | kill: decode agent                   |
      | prefilled  | kill: prefill engine                 |
      | prefilled  | kill: decode engine                  |
      | prefilled  | freeze: prefill agent                |
      | prefilled  | freeze: decode agent                 |
      | prefilled  | cut: gateway to prefill agent        |
      | prefilled  | cut: gateway to decode agent         |
      | prefilled  | cut: agent to agent                  |
      | prefilled  | cut: prefill agent to engine         |
      | prefilled  | cut: decode agent to engine          |
      | prefilled  | hold both: gateway to prefill agent  |
      | prefilled  | hold both: gateway to decode agent   |
      | prefilled  | hold both: agent to agent            |
      | prefilled  | hold both: prefill agent to engine   |
      | prefilled  | hold both: decode agent to engine    |
      | prefilled  | hold forth: gateway to decode agent  |
      | prefilled  | hold back: gateway to decode agent   |
      | prefilled  | hold forth: gateway to prefill agent |
      | prefilled  | hold back: gateway to prefill agent  |
      | prefilled  | hold forth: decode agent to engine   |
      | prefilled  | hold back: decode agent to engine    |
      | prefilled  | hold forth: prefill agent to engine  |
      | prefilled  | hold back: prefill agent to engine   |
      | prefilled  | stall: link                          |
      | prefilled  | configuration: down                  |
      | prefilled  | configuration: stale                 |
      | prefilled  | older version: served                |
      | prefilled  | roll: same content                   |
      | prefilled  | roll: homes moved                    |
      | prefilled  | leaving: prefill                     |
      | prefilled  | leaving: decode                      |
      | prefilled  | planned stop: gateway                |
      | prefilled  | planned stop: prefill agent          |
      | prefilled  | planned stop: decode agent           |

  Scenario Outline: <fault> at the step <step>: the caller has one final answer
    Given a model request at the step <step>
    When the fault strikes: <fault>
    Then the caller has one final answer
    And the judge finds nothing wrong

    Examples:
      | step       | fault           |
      | prefilling | freeze: gateway |
      | prefilled  | freeze: gateway |

  Scenario Outline: <fault> at the step <step>: the caller has left
    Given a model request at the step <step>
    When the fault strikes: <fault>
    Then the caller has left
    And the judge finds nothing wrong

    Examples:
      | step       | fault          |
      | prefilling | kill: gateway  |
      | prefilling | caller: leaves |
      | prefilled  | kill: gateway  |
      | prefilled  | caller: leaves |
