Feature: The router as a process, on its own routes file

  Scenario: It serves, tells its figures, follows its file and ends with 0 on SIGTERM
    Given a plain backend "a"
    And a router process on a routes file that lists it as version 1
    When a client sends POST on "booking" to the process
    Then the client gets 200 with the body of a backend
    And its figures count 1 answered request of "booking"
    When the routes file becomes version 2 with the prefix "/lodging/"
    Then a client who sends POST on "lodging" to the process gets 200 after a while
    And a client who sends POST on "booking" to the process gets 404 after a while
    When the process gets SIGTERM
    Then it ends with 0

  Scenario: SIGHUP ends no process: not while the program is loaded, nor at its end
    Given a router started by the deployed entry point
    When it gets SIGHUP as soon as it listens for callers
    Then it is loaded and answers whether it is ready
    When it gets SIGTERM, and SIGHUP again and again until it has ended
    Then it ends with 0

  Scenario: Every error of a settings or routes file is told at once with its remedy
    Then checking this file fails and tells "unknown section" and "missing" and "write"
      """
      [callers]
      listen = nowhere
      [fleets]
      address = 127.0.0.1:1
      """
    And checking this file fails and tells "unknown service" and "write one of" and "write a number"
      """
      [table]
      version = 1
      [backend a]
      service = nowhere
      address = 127.0.0.1:1
      [route r]
      host = h
      prefix = /r/
      kind = sometimes
      services = x
      timeout_s = long
      """

  Scenario: Callers who come while the program is loaded wait and are served
    Given a plain backend "a"
    And a settings file whose addresses for callers listen before the program is loaded
    When a client sends POST on "once" to the address for callers
    And the router is started with these addresses
    Then the waiting client gets 200
    And the address for readiness answers 200

  Scenario: Settings that cannot be read or bound early stop nothing
    Then listening early for a file that does not exist gives no address
    And listening early for addresses that are no addresses gives no address

  Scenario: Every mechanism can be switched off, and only by its name
    Then checking this file fails and tells "luck: unknown" and "pace: " and "missing"
      """
      [callers]
      listen = nowhere
      [mechanisms]
      pace = perhaps
      luck = no
      """

  # Guards against connections that are closed as idle while their next request waits in the socket.
  Scenario: A router that stands still as it closes idle connections answers what came meanwhile
    Given a plain backend "a"
    And a router that knows them
    And 4 clients with connections that they keep
    When the router is told to stop and stands still for 0.8 s as it closes idle connections
    And each of these clients, and 4 with new connections, send a request meanwhile
    Then each of these requests is answered 200

  # Guards against requests that wait in the sockets of a router that stands still in its last moment.
  Scenario: A router that stands still as it ends tells those that came meanwhile
    Given a plain backend "a"
    And a router that knows them
    When the router is told to stop and stands still for 0.4 s as it ends
    And 4 clients with new connections send a request meanwhile
    Then each of these requests is answered 503
