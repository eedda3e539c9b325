Feature: SIGTERM ends a process at whatever step of its program it arrives

  # Guards against a signal handler that waits for a lock which the interrupted code holds.
  Scenario Outline: A <process> that gets SIGTERM at any one step before it waits for a signal exits
    Then a <process> exits wherever SIGTERM interrupts it

    Examples:
      | process  |
      | daemon   |
      | stand-in |
