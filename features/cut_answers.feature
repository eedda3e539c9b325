Feature: An answer that was cut off is never taken for a whole one

  # Guards against answers cut off in their head or their last chunk that are passed on as whole.
  Scenario Outline: A client of an agent, a gateway or an operator, <name>
    When the answer to the <name> is cut off after each of its bytes, in each framing
    Then no cut answer was taken for a whole one

    Examples:
      | name                      |
      | order to an engine        |
      | order without a result    |
      | report of an engine       |
      | call of a service         |
      | read of the configuration |
      | read of an unset key      |
      | machine list              |
      | status of a daemon        |
      | histograms of a gateway   |
