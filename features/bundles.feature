@deployment
Feature: A signed-off bundle is in force everywhere within seconds, and never an older one

  Scenario: A new version is in force everywhere
    When a new version is published
    Then it is in force on every process within 9 s

  Scenario: Two versions published close together
    When two versions are published close together
    Then it is in force on every process within 9 s

  Scenario: A rollback is a new version with old content
    When a new version is published
    And the content of the first version is published as a new version
    Then it is in force on every process within 9 s

  Scenario Outline: <what> is not adopted and disturbs nothing
    When <what> is published
    Then no process adopts it
    And a caller streams 5 tokens through gateway-1
    And the answer is whole

    Examples:
      | what                                  |
      | an unsigned bundle                    |
      | a wrongly signed bundle               |
      | an altered envelope                   |
      | a truncated envelope                  |
      | an envelope over 1 MB                 |
      | the same version with other content   |
      | a bundle whose sections are missing   |
      | a bundle with an altered section      |

  Scenario: A process that restarts while the service serves an old version gets the newest
    When a new version is published
    And it is in force on every process within 9 s
    And the configuration service goes back to the first version
    And gateway-1 and decode-1 are killed and started again
    Then it is in force on every process within 9 s

  Scenario: The configuration service is down while a version spreads
    When a new version reaches only some processes before the service goes down
    Then it is in force on every process within 9 s

  Scenario: A process that restarts while the service is down gets the bundle from its peers
    When a new version is published
    And it is in force on every process within 9 s
    And the configuration service goes down
    And decode-1 is killed and started again
    Then it is in force on every process within 9 s
