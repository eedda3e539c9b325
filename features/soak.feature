Feature: Requests, cancels, faults, bundles and role changes in a random order

  Scenario Outline: <requests> requests while faults strike, drawn with the seed <seed>
    Given a deployment whose engines <fencing>
    When <requests> requests are sent while faults strike, drawn with the seed <seed>
    Then every caller got one final answer, its own and true
    And no key ran twice
    And nothing stays held
    And nothing was dropped by a role change
    And the newest version is in force everywhere

    Examples:
      | seed | requests | fencing                 |
      | 1    | 150      | check fencing tokens    |
      | 2    | 150      | check fencing tokens    |
      | 3    | 150      | check no fencing tokens |
