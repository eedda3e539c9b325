Feature: Two groups of routers that did not know each other meet

  # Guards against two leaders that give orders to one engine, and against a leader that goes on with
  # a lower fencing token than the other group's leader has used.
  Scenario Outline: One router of <who> group learns of a member of the other
    Given a group of 3 routers and a later group of 2, each with a leader
    When one router of <who> group gets a member of the other as a new seed
    Then all 5 routers hear each other
    And from 1 s later on nobody may give orders within a lease of another leader
    And one router leads, with a higher fencing token than any before

    Examples:
      | who             |
      | the first       |
      | the later       |
