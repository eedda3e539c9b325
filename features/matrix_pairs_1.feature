@deployment
Feature: Pairs of faults, part 1: a sample of the product drawn once with a fixed seed

  Scenario Outline: <first> and <second> at the step <step>: the caller has one final answer
    Given a model request at the step <step>
    When two faults strike: <first> and then <second>
    Then the caller has one final answer
    And the judge finds nothing wrong

    Examples:
      | step            | first                                | second                               |
      | reserved        | freeze: decode agent                 | stall: link                          |
      | decoding        | hold back: prefill agent to engine   | leaving: prefill                     |
      | releasing       | leaving: decode                      | hold back: gateway to decode agent   |
      | transferring    | kill: prefill engine                 | configuration: down                  |
      | releasing       | configuration: down                  | cut: decode agent to engine          |
      | transferring    | cut: prefill agent to engine         | cut: prefill agent to engine         |
      | decoding        | leaving: prefill                     | kill: decode agent                   |
      | first token out | kill: decode agent                   | cut: gateway to decode agent         |
      | transferring    | hold back: gateway to decode agent   | hold back: gateway to decode agent   |
      | first token out | hold back: gateway to decode agent   | cut: decode agent to engine          |
      | releasing       | kill: prefill engine                 | leaving: decode                      |
      | releasing       | cut: decode agent to engine          | cut: gateway to prefill agent        |
      | decoding        | hold back: prefill agent to engine   | hold forth: gateway to prefill agent |
      | admitted        | configuration: stale                 | configuration: down                  |
      | prefilling      | hold forth: gateway to prefill agent | kill: prefill engine                 |
      | releasing       | configuration: down                  | hold forth: decode agent to engine   |
      | transferring    | hold forth: decode agent to engine   | cut: gateway to decode agent         |
      | releasing       | cut: decode agent to engine          | cut: gateway to decode agent         |
      | releasing       | hold back: gateway to prefill agent  | cut: prefill agent to engine         |
      | prefilled       | cut: gateway to prefill agent        | hold back: gateway to decode agent   |
      | releasing       | hold both: gateway to decode agent   | kill: prefill agent                  |
      | transferring    | cut: agent to agent                  | kill: prefill engine                 |
      | releasing       | configuration: stale                 | hold back: gateway to prefill agent  |
      | transferring    | hold back: gateway to decode agent   | freeze: gateway                      |
      | transferring    | hold forth: gateway to prefill agent | freeze: prefill agent                |
      | reserved        | stall: link                          | freeze: decode agent                 |
      | reserved        | stall: link                          | stall: link                          |
      | transferring    | configuration: down                  | cut: prefill agent to engine         |
      | releasing       | configuration: stale                 | kill: decode engine                  |
      | prefilled       | hold forth: gateway to prefill agent | stall: link                          |
      | transferring    | kill: decode agent                   | freeze: gateway                      |
      | prefilling      | hold back: prefill agent to engine   | hold both: gateway to decode agent   |
      | decoding        | kill: decode engine                  | freeze: prefill agent                |
      | releasing       | cut: agent to agent                  | hold back: gateway to decode agent   |
      | first token out | kill: prefill engine                 | hold back: gateway to decode agent   |
      | prefilling      | kill: decode engine                  | freeze: prefill agent                |
      | decoding        | stall: link                          | stall: link                          |
      | prefilled       | configuration: down                  | hold forth: decode agent to engine   |
      | decoding        | kill: prefill agent                  | freeze: gateway                      |
      | releasing       | leaving: decode                      | hold forth: gateway to prefill agent |
      | admitted        | kill: decode engine                  | freeze: prefill agent                |
      | prefilling      | freeze: gateway                      | freeze: gateway                      |
      | decoding        | cut: gateway to prefill agent        | hold both: gateway to decode agent   |

  Scenario Outline: <first> and <second> at the step <step>: the caller has left
    Given a model request at the step <step>
    When two faults strike: <first> and then <second>
    Then the caller has left
    And the judge finds nothing wrong

    Examples:
      | step            | first               | second                             |
      | prefilled       | kill: gateway       | kill: prefill engine               |
      | transferring    | kill: gateway       | cut: prefill agent to engine       |
      | transferring    | kill: gateway       | kill: gateway                      |
      | decoding        | kill: decode engine | kill: gateway                      |
      | prefilling      | kill: gateway       | hold back: prefill agent to engine |
      | decoding        | kill: gateway       | cut: decode agent to engine        |
      | reserved        | kill: prefill agent | caller: leaves                     |
      | first token out | leaving: decode     | kill: gateway                      |
      | admitted        | caller: leaves      | kill: prefill agent                |
