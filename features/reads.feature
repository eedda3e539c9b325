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

  Scenario: A watch gets new bundles after a restore from backup lowered the service's revisions
    Given a configuration service with a bundle of the size aimed at
    And a process that watches it and is up to date after 3 publications
    When the service is down for 0.5 s and is restored from a backup 80 revisions older
    And one tenant is changed
    Then the process has the newest bundle within 5.0 s

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
