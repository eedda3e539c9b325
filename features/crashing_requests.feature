Feature: A request that ends the backends which run it is not sent on and on

  Scenario: A generation that ends its engines is kept from them at every router
    Given a prefill engine "p"
    And decode engines "d", "e", "f" and "g"
    And two routers that hear each other
    And backends end when they run a certain request, and come back as new ones
    When a caller sends that request on "chat" 12 times, at the routers in turn
    Then at most 3 backends have ended
    And at most 3 more arrivals of it came after the third end
    And its last answer is 503 with a time to come back

  Scenario: A call that ends the backends of a plain service is kept from them at every router
    Given a plain backend "a"
    And a plain backend "b"
    And a plain backend "c"
    And two routers that hear each other
    And backends end when they run a certain request, and come back as new ones
    When a caller sends that request on "repeat" 12 times, at the routers in turn
    Then at most 3 backends have ended
    And at most 3 more arrivals of it came after the third end
    And its last answer is 503 with a time to come back

  Scenario: Copies that come at once at all routers end what they met at the same moment, no more
    Given a prefill engine "p"
    And decode engines "d", "e", "f" and "g"
    And two routers that hear each other
    And backends end when they run a certain request, and come back as new ones
    When a caller sends that request on "chat" 8 times at once, at the routers in turn
    And a caller sends that request on "chat" 12 times, at the routers in turn
    Then at most 4 backends have ended
    And at most 3 more arrivals of it came 0.5 s or later after the third end
    And its last answer is 503 with a time to come back

  Scenario: Other requests of the same caller, path and service are served meanwhile
    Given a prefill engine "p"
    And decode engines "d", "e", "f" and "g"
    And two routers that hear each other
    And backends end when they run a certain request, and come back as new ones
    When a caller sends that request on "chat" 6 times, at the routers in turn
    And the same caller sends another body to the same path 6 times, at the routers in turn
    Then all of these were served whole

  Scenario: A request that was sent already is taken back when another router knows that it ends engines
    Given decode engines "d", "e", "f" and "g"
    And a router that knows only "d", which holds what it gets, and one that knows the others
    And backends end when they run a certain request, and come back as new ones
    When a caller sends that request on "chat" to the first router and does not wait
    And a caller sends that request on "chat" 4 times, at the second router
    Then the one that waited gets 502
    And "d" saw its connection end and did not run it

  Scenario: A router that starts anew hears which requests end backends
    Given a prefill engine "p"
    And decode engines "d", "e", "f" and "g"
    And two routers that hear each other
    And backends end when they run a certain request, and come back as new ones
    When a caller sends that request on "chat" 6 times, at the routers in turn
    And a third router starts and hears the others
    And a caller sends that request on "chat" once, at the third router
    Then no further backend has ended
    And its last answer is 503 with a time to come back
