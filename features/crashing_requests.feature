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
