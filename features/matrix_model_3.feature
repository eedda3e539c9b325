@deployment
Feature: Fault matrix of model requests, part 3: transferring, first token out

  Scenario Outline: <fault> at the step <step>: the caller has the whole answer
    Given a model request at the step <step>
    When the fault strikes: <fault>
    Then the caller has the whole answer
    And the judge finds nothing wrong

    Examples:
      | step            | fault                                |
      | transferring    | kill: prefill agent                  |
      | transferring    | kill: decode agent                   |
      | transferring    | kill: prefill engine                 |
      | transferring    | kill: decode engine                  |
      | transferring    | freeze: prefill agent                |
      | transferring    | freeze: decode agent                 |
      | transferring    | cut: gateway to prefill agent        |
      | transferring    | cut: gateway to decode agent         |
      | transferring    | cut: agent to agent                  |
      | transferring    | cut: prefill agent to engine         |
      | transferring    | cut: decode agent to engine          |
      | transferring    | hold both: gateway to prefill agent  |
      | transferring    | hold both: gateway to decode agent   |
      | transferring    | hold both: agent to agent            |
      | transferring    | hold both: prefill agent to engine   |
      | transferring    | hold both: decode agent to engine    |
      | transferring    | hold forth: gateway to decode agent  |
      | transferring    | hold back: gateway to decode agent   |
      | transferring    | hold forth: gateway to prefill agent |
      | transferring    | hold back: gateway to prefill agent  |
      | transferring    | hold forth: decode agent to engine   |
      | transferring    | hold back: decode agent to engine    |
      | transferring    | hold forth: prefill agent to engine  |
      | transferring    | hold back: prefill agent to engine   |
      | transferring    | stall: link                          |
      | transferring    | configuration: down                  |
      | transferring    | configuration: stale                 |
      | transferring    | older version: served                |
      | transferring    | roll: same content                   |
      | transferring    | roll: homes moved                    |
      | transferring    | leaving: prefill                     |
      | transferring    | leaving: decode                      |
      | transferring    | planned stop: gateway                |
      | transferring    | planned stop: prefill agent          |
      | transferring    | planned stop: decode agent           |
      | first token out | kill: prefill agent                  |
      | first token out | kill: decode agent                   |
      | first token out | kill: prefill engine                 |
      | first token out | kill: decode engine                  |
      | first token out | freeze: prefill agent                |
      | first token out | freeze: decode agent                 |
      | first token out | cut: gateway to prefill agent        |
      | first token out | cut: gateway to decode agent         |
      | first token out | cut: agent to agent                  |
      | first token out | cut: prefill agent to engine         |
      | first token out | cut: decode agent to engine          |
      | first token out | hold both: gateway to prefill agent  |
      | first token out | hold both: gateway to decode agent   |
      | first token out | hold both: agent to agent            |
      | first token out | hold both: prefill agent to engine   |
      | first token out | hold both: decode agent to engine    |
      | first token out | hold forth: gateway to decode agent  |
      | first token out | hold back: gateway to decode agent   |
      | first token out | hold forth: gateway to prefill agent |
      | first token out | hold back: gateway to prefill agent  |
      | first token out | hold forth: decode agent to engine   |
      | first token out | hold back: decode agent to engine    |
      | first token out | hold forth: prefill agent to engine  |
      | first token out | hold back: prefill agent to engine   |
      | first token out | stall: link                          |
      | first token out | configuration: down                  |
      | first token out | configuration: stale                 |
      | first token out | older version: served                |
      | first token out | roll: same content                   |
      | first token out | roll: homes moved                    |
      | first token out | leaving: prefill                     |
      | first token out | leaving: decode                      |
      | first token out | planned stop: gateway                |
      | first token out | planned stop: prefill agent          |
      | first token out | planned stop: decode agent           |

  Scenario Outline: <fault> at the step <step>: the caller has one final answer
    Given a model request at the step <step>
    When the fault strikes: <fault>
    Then the caller has one final answer
    And the judge finds nothing wrong

    Examples:
      | step            | fault           |
      | transferring    | freeze: gateway |
      | first token out | freeze: gateway |

  Scenario Outline: <fault> at the step <step>: the caller has left
    Given a model request at the step <step>
    When the fault strikes: <fault>
    Then the caller has left
    And the judge finds nothing wrong

    Examples:
      | step            | fault          |
      | transferring    | kill: gateway  |
      | transferring    | caller: leaves |
      | first token out | kill: gateway  |
      | first token out | caller: leaves |
