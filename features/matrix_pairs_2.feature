@deployment
Feature: Pairs of faults, part 2: a sample of the product drawn once with a fixed seed

  Scenario Outline: <first> and <second> at the step <step>: the caller has one final answer
    Given a model request at the step <step>
    When two faults strike: <first> and then <second>
    Then the caller has one final answer
    And the judge finds nothing wrong

    Examples:
      | step            | first                                | second                               |
      | reserved        | cut: decode agent to engine          | cut: prefill agent to engine         |
      | prefilling      | cut: gateway to prefill agent        | leaving: decode                      |
      | decoding        | cut: gateway to decode agent         | cut: agent to agent                  |
      | releasing       | hold back: gateway to decode agent   | hold back: gateway to decode agent   |
      | transferring    | kill: prefill engine                 | freeze: decode agent                 |
      | first token out | hold both: gateway to decode agent   | configuration: down                  |
      | first token out | hold forth: decode agent to engine   | hold forth: decode agent to engine   |
      | prefilled       | kill: prefill engine                 | cut: gateway to prefill agent        |
      | prefilled       | hold back: prefill agent to engine   | cut: gateway to prefill agent        |
      | prefilling      | kill: prefill engine                 | kill: prefill engine                 |
      | decoding        | freeze: gateway                      | freeze: gateway                      |
      | admitted        | leaving: decode                      | freeze: gateway                      |
      | reserved        | cut: gateway to decode agent         | freeze: gateway                      |
      | transferring    | cut: gateway to prefill agent        | cut: gateway to prefill agent        |
      | admitted        | kill: prefill engine                 | cut: gateway to decode agent         |
      | first token out | cut: agent to agent                  | stall: link                          |
      | admitted        | cut: decode agent to engine          | freeze: prefill agent                |
      | releasing       | hold both: gateway to decode agent   | kill: prefill engine                 |
      | first token out | hold back: gateway to prefill agent  | cut: gateway to prefill agent        |
      | decoding        | cut: gateway to decode agent         | cut: prefill agent to engine         |
      | transferring    | configuration: stale                 | leaving: prefill                     |
      | reserved        | cut: gateway to decode agent         | cut: agent to agent                  |
      | admitted        | leaving: prefill                     | freeze: gateway                      |
      | reserved        | kill: prefill engine                 | kill: prefill engine                 |
      | first token out | hold both: gateway to decode agent   | freeze: decode agent                 |
      | decoding        | configuration: down                  | kill: decode engine                  |
      | prefilling      | hold forth: decode agent to engine   | hold forth: decode agent to engine   |
      | decoding        | cut: gateway to prefill agent        | freeze: decode agent                 |
      | decoding        | cut: gateway to prefill agent        | kill: decode engine                  |
      | transferring    | cut: agent to agent                  | leaving: decode                      |
      | prefilled       | hold forth: gateway to prefill agent | hold forth: gateway to prefill agent |
      | prefilled       | configuration: down                  | kill: decode engine                  |
      | decoding        | configuration: stale                 | freeze: decode agent                 |
      | transferring    | cut: agent to agent                  | cut: prefill agent to engine         |
      | first token out | hold back: gateway to decode agent   | hold forth: decode agent to engine   |
      | releasing       | configuration: down                  | freeze: prefill agent                |
      | decoding        | kill: prefill agent                  | kill: decode agent                   |
      | transferring    | cut: prefill agent to engine         | cut: gateway to prefill agent        |
      | prefilled       | configuration: stale                 | hold back: prefill agent to engine   |
      | prefilling      | hold back: gateway to prefill agent  | hold back: gateway to prefill agent  |
      | prefilling      | leaving: prefill                     | hold forth: decode agent to engine   |
      | transferring    | cut: gateway to decode agent         | cut: gateway to decode agent         |

  Scenario Outline: <first> and <second> at the step <step>: the caller has left
    Given a model request at the step <step>
    When two faults strike: <first> and then <second>
    Then the caller has left
    And the judge finds nothing wrong

    Examples:
      | step            | first                | second                               |
      | admitted        | kill: decode agent   | caller: leaves                       |
      | prefilling      | kill: gateway        | freeze: gateway                      |
      | decoding        | leaving: decode      | kill: gateway                        |
      | admitted        | leaving: prefill     | kill: gateway                        |
      | first token out | stall: link          | caller: leaves                       |
      | transferring    | kill: gateway        | kill: decode engine                  |
      | reserved        | freeze: gateway      | caller: leaves                       |
      | first token out | kill: prefill agent  | kill: gateway                        |
      | prefilling      | caller: leaves       | hold forth: gateway to prefill agent |
      | prefilling      | configuration: stale | kill: gateway                        |
