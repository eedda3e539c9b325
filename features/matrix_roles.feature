@deployment
Feature: Fault matrix of model requests: an engine gets another role while it works

  Scenario Outline: <fault> at the step <step>: the caller has the whole answer
    Given a model request at the step <step>
    When the fault strikes: <fault>
    Then the caller has the whole answer
    And the judge finds nothing wrong

    Examples:
      | step            | fault                |
      | admitted        | role change: prefill |
      | admitted        | role change: decode  |
      | reserved        | role change: prefill |
      | reserved        | role change: decode  |
      | prefilling      | role change: prefill |
      | prefilling      | role change: decode  |
      | prefilled       | role change: prefill |
      | prefilled       | role change: decode  |
      | transferring    | role change: prefill |
      | transferring    | role change: decode  |
      | first token out | role change: prefill |
      | first token out | role change: decode  |
      | decoding        | role change: prefill |
      | decoding        | role change: decode  |
      | releasing       | role change: prefill |
      | releasing       | role change: decode  |
