Feature: Reads of the configuration service, which are few for a whole fleet

  Scenario: A process that starts reads two values, however many sections a bundle has
    Given a configuration service with a bundle of the size aimed at
    When a process with no bundle reads it
    Then it has the newest bundle after 2 reads

  Scenario: A change costs one read for the envelope and one for the section
    Given a configuration service with a bundle of the size aimed at
    When a process with no bundle reads it
    And one tenant is changed and the process reads again
    Then it has the newest bundle after 2 reads

  Scenario Outline: The packed sections are only a shortcut: <what>
    Given a configuration service with a bundle of the size aimed at
    When the packed sections are <what>
    And a process with no bundle reads it
    Then it has the newest bundle, however many reads that took

    Examples:
      | what                  |
      | not published         |
      | altered               |
      | those of another time |
