Feature: A sound backend is not given up for a reason that is not its own

  Scenario: A slow backend is waited for where the budget lets nobody ask another
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And its budget allows one repeat in a window
    And the backends hold their answers
    When 2 clients send POST on "repeat", one a moment after the other
    And one of them was sent to the other backend and a while has passed
    And the backends let go
    Then both clients get 200

  Scenario: Two whose patience ends at the same moment do not both count on the last repeat
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And its budget allows one repeat in a window
    And the backends hold their answers
    When 6 clients send POST on "repeat" at the same moment
    And one of them was sent to the other backend and 6 were sent before
    And the backends let go
    Then all of these clients get 200

  # Guards against answers given up midway when their backend pauses while no retry is possible.
  Scenario: A backend that pauses midway is waited for where the budget lets nobody ask another
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And its budget allows one repeat in a window
    And the backends hold their answers midway
    When 6 clients send POST on "repeat" at the same moment
    And one of them was sent to the other backend and 6 were sent before
    And the backends let go
    Then all of these clients get 200

  # Guards against answers given up midway when their backend pauses while no other one can be reached.
  Scenario: A backend that pauses midway is waited for where the only other one cannot be reached
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And the backends hold their answers midway
    When a client sends POST on "repeat" and the backend without it is gone
    And 1.5 s pass
    And the backends let go
    Then the client that waited gets 200
    And its request was sent to one backend, once

  Scenario: A slow backend is waited for where the only other one cannot be reached
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And both backends have answered in 0.4 s on "repeat" several times
    When a client sends POST on "repeat" to a backend that works for 3.5 s while the other one is gone
    Then the client gets 200 with the body of a backend
    And its backend was asked once

  Scenario: A repeat goes to the backend that accepted a connection, not to an untried one that is gone
    Given a plain backend "a"
    And a plain backend "b"
    And a plain backend "c"
    And a router that knows them
    And all backends have answered in 0.4 s on "thrice" several times
    When a client sends POST on "thrice" to two backends that work for 3.5 s while the third one is gone
    Then the client gets 200 with the body of a backend
    And its request was sent to two backends

  # Guards against a call that leaves its backend for a connection which other requests take or close.
  Scenario: A backend is left only for a connection that no other request can take or close
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And the packets of all its connections are late by 0.4 s
    And the backends hold their answers
    When a client sends POST on "repeat" and its router has reserved the backend without it
    And another request of the router cannot connect to the reserved backend
    Then the client that waited gets 200
    And its request was sent to two backends, once each

  Scenario: What came while the process itself stood still is read before its sender is given up
    Given a stream whose next event comes while the process stands still
    When the process goes on, later than its patience
    Then the event is read
