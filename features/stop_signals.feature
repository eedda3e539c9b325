Feature: SIGTERM ends a process at whatever step of its program it arrives

  # Guards against a signal handler that waits for a lock which the interrupted code holds.
  Scenario Outline: A <process> that gets SIGTERM at any one step before it waits for a signal exits
    Then a <process> exits wherever SIGTERM interrupts it

    Examples:
      | process  |
      | daemon   |
      | stand-in |

  # Guards against a router that is killed in its interpreter's shutdown after it has stopped.
  Scenario: A router that has stopped exits at once, however long the interpreter's shutdown takes
    When a router is stopped whose interpreter needs 5 s to shut down
    Then it exits within 1 s of the line "stopped", with status 0
