Feature: A machine that was suspended takes nothing from before for fresh

  Background:
    Given a plain backend "a"
    And a router that knows them

  Scenario: A caller whose time passed in a suspension gets its final answer on waking
    Given the backends hold their answers
    When a client with 2.0 s sends a call on "once" and does not wait
    And the machine is suspended for 5.0 s
    Then the client gets 504 within 0.5 s
    And the router tells of 1 suspension of 5.0 s

  Scenario: Connections that fell silent in a suspension are not used after it
    When a client sends POST on "once" with body "abc"
    And the backends' open connections fall silent and the machine is suspended for 0.5 s
    And a client sends POST on "once" with body "abc"
    Then the client gets 200 with the body of a backend

  Scenario: Repeats that were made before a suspension no longer count after it
    Given 3 repeats were made in this window
    When the machine is suspended for 12.0 s
    Then no repeat counts any more

  Scenario: Votes that were heard before a suspension make no leader after it
    Given a router that leads by the votes it has heard
    When the machine is suspended for 3.0 s
    Then it does not lead until it is voted for again
