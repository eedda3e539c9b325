@deployment @no-fencing
Feature: Kills and freezes of agents beside engines that check no fencing token

  Scenario Outline: <fault> at the step <step>, engines without fencing: the caller has the whole answer
    Given a model request at the step <step>
    When the fault strikes: <fault>
    Then the caller has the whole answer
    And the judge finds nothing wrong

    Examples:
      | step            | fault                 |
      | admitted        | kill: prefill agent   |
      | admitted        | kill: decode agent    |
      | admitted        | freeze: prefill agent |
      | admitted        | freeze: decode agent  |
      | reserved        | kill: prefill agent   |
      | reserved        | kill: decode agent    |
      | reserved        | freeze: prefill agent |
      | reserved        | freeze: decode agent  |
      | prefilling      | kill: prefill agent   |
      | prefilling      | kill: decode agent    |
      | prefilling      | freeze: prefill agent |
      | prefilling      | freeze: decode agent  |
      | prefilled       | kill: prefill agent   |
      | prefilled       | kill: decode agent    |
      | prefilled       | freeze: prefill agent |
      | prefilled       | freeze: decode agent  |
      | transferring    | kill: prefill agent   |
      | transferring    | kill: decode agent    |
      | transferring    | freeze: prefill agent |
      | transferring    | freeze: decode agent  |
      | first token out | kill: prefill agent   |
      | first token out | kill: decode agent    |
      | first token out | freeze: prefill agent |
      | first token out | freeze: decode agent  |
      | decoding        | kill: prefill agent   |
      | decoding        | kill: decode agent    |
      | decoding        | freeze: prefill agent |
      | decoding        | freeze: decode agent  |
      | releasing       | kill: prefill agent   |
      | releasing       | kill: decode agent    |
      | releasing       | freeze: prefill agent |
      | releasing       | freeze: decode agent  |
