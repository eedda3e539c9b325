Feature: The router as the deploy file builds it, over a long run

  Scenario: Twenty thousand requests of all kinds are answered as they should be
    Given the router built by the deploy file's own build line
    When callers send 20000 requests while backends and routes come and go
    Then every answer was as it should be
    And every metrics page could be read
    And nothing that the router keeps grew with the length of the run

  Scenario: A library that is imported lazily and not declared is found
    Given a copy of the sources in which a function of the metrics imports "pykka"
    Then the check of the deployment names "pykka"
    And the check of the deployment has nothing to say of the sources themselves

  Scenario: Nobody reads the router's log
    Given the router built by the deploy file's own build line
    And its log goes to a pipe that nobody reads
    When callers send 3000 requests while backends and routes come and go
    Then every answer was as it should be
    And the pipe is full
