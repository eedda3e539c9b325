Feature: A router takes over settings that change while it runs

  # Guards against two groups of routers that never meet after the machines named as seeds were replaced.
  Scenario Outline: Routers meet that learn of each other by new seeds only, <signal>
    Given two router processes whose settings name no seeds
    When the settings of one name the other as a seed, <signal>
    Then both routers hear each other within <limit_s> s

    Examples:
      | signal             | limit_s |
      | with SIGHUP        | 2       |
      | without any signal | 4       |

  # Guards against settings that are written while the program is loaded and ignores SIGHUP.
  Scenario: Settings that change while the program is loaded are taken over
    Given two router processes whose settings name no seeds
    When one is started anew, and its settings name the other as it has read them
    Then both routers hear each other within 4 s

  Scenario: Invalid settings change nothing and are logged with every error
    Given two router processes whose settings name no seeds
    When the settings of one name the other as a seed and hold two errors, with SIGHUP
    Then its log tells "[stop] grace_s" and "[luck]" in one line within 2 s
    And it hears no other router
    When the settings of one name the other as a seed, with SIGHUP
    Then both routers hear each other within 2 s

  Scenario: Options that take effect only at a start are logged with their remedy
    Given two router processes whose settings name no seeds
    When the zone changes and the settings name the other as a seed, with SIGHUP
    Then its log tells "process.zone" and "restart" in one line within 2 s
    And both routers hear each other within 2 s

  Scenario: Signals in quick succession, the last of them after a change, end nothing
    Given two router processes whose settings name no seeds
    When one gets SIGHUP 200 times, and its settings name the other before the last
    Then both routers hear each other within 2 s
    And both end with 0 on SIGTERM
