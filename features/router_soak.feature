Feature: Four routers as deployed, in faults and planned work that overlap

  Scenario Outline: <seconds> seconds of faults and planned work, drawn with the seed <seed>
    Given routers built by the deploy file's own build line
    When four of them are soaked for <seconds> seconds with the seed <seed>
    Then clients and backends have seen no rule broken
    And routers were stopped, frozen and told of new configurations meanwhile

    Examples:
      | seed | seconds |
      | 1    | 20      |
      | 2    | 20      |
      | 3    | 20      |
      | 26   | 20      |
      | 31   | 20      |
      | 32   | 20      |
      | 95   | 20      |
      | 123  | 20      |

  Scenario: A backend that ends by itself while its replacement starts is still drained
    Given an empty soak history
    When a backend is drained and ends by itself while its replacement starts
    Then its draining is recorded and its replacement serves

  Scenario Outline: The judge finds what is wrong: <fault>
    Given a history in which <fault>
    Then the judge finds a broken rule "<rule>" and nothing else

    Examples: requests
      | fault                                                           | rule    |
      | a request that may run once ran at two backends                 | TWICE   |
      | a refused request had run                                       | REFUSED |
      | a request was cut in a router that was stopping                 | LOST    |
      | a request that was passed on was cut                            | LOST    |
      | no answer came by the deadline                                  | LOST    |
      | a sound backend's answer was given up                           | ANSWER  |
      | a failure came that no backend gave                             | ANSWER  |
      | a proper request was rejected                                   | ANSWER  |
      | the answer has a fault of its own                               | MIXED   |
      | a backend ran what nobody sent                                  | UNASKED |
      | the body was changed on its way                                 | UNASKED |
      | another service than the route's ran it                         | ROUTE   |

    # Guards against losses around planned work that another fault beside them would hide.
    Examples: planned work
      | fault                                                                                | rule   |
      | a stopping router cut a stream that one engine had turned away                       | LOST   |
      | a stopping router cut such a stream that it took 3.2 s after SIGTERM at its end      | LOST   |
      | a stopping router, frozen 3.5 s before, cut a stream that one engine had turned away | LOST   |
      | a router that outlasted its grace time cut a request                                 | LOST   |
      | a router cut a stream, turned away by one engine, within 2 s of SIGHUP               | LOST   |
      | a router cut such a stream beside a configuration only                               | LOST   |
      | a stopping router gave up a request that it took 3.2 s after SIGTERM                 | ANSWER |

    Examples: most new connections at one router
      | fault                                                     | rule    |
      | a router with most connections served 21 of 30            | RECOVER |
      | a router with most connections left seven in a row unread | RECOVER |

    Examples: resumed streams
      | fault                                                           | rule    |
      | a stream went on at another version                             | ORDER   |
      | two thirds of the resumed streams were refused                  | LOST    |
      | 3 of 20 streams were refused after the loss of all routers      | LOST    |
      | 3 of 20 streams were refused beside a rollout                   | LOST    |

    Examples: time bounds
      | fault                                                           | rule    |
      | a backend listed as leaving got a request                       | DRAIN   |
      | a backend that left well before a restore got a request         | DRAIN   |
      | a router started after a backend left and well before a restore, and sent it a request | DRAIN |
      | an old configuration was in force for too long                  | CONFIG  |
      | a router went back to an older configuration                    | CONFIG  |
      | extra arrivals went over the budget                             | BUDGET  |
      | a request that ends its backends was sent on                    | BUDGET  |
      | requests with a part that ends engines were sent on             | BUDGET |
      | nine of 20 harmless requests began beside a part that ends engines | LOST |
      | a backend whose leaving was passed on got a request             | DRAIN   |
      | a backend at rest got three requests                            | BUDGET  |
      | a backend whose leaving was passed on got a request after a brief wait for a processor | DRAIN |
      | a backend at rest got three requests from a router that had waited briefly for a processor | BUDGET |
      | a router that had waited briefly for a processor sent a leaving backend a request | DRAIN |
      | a backend with a limit of 1 a second got twelve requests        | LIMIT   |
      | a process ended by itself                                       | ENDED   |
      | SIGHUP ended a process that was being loaded                    | ENDED   |
      | a process did not stop in its grace                             | ENDED   |
      | a router held a request at the end                              | HELD    |

  Scenario Outline: The judge binds nobody to what nobody promised: <history>
    Given a history in which <history>
    Then the judge finds no broken rule

    Examples:
      | history                                                         |
      | nothing went wrong                                              |
      | a router with most connections served 24 of 30                  |
      | a router with most connections served 10, and left 20 unread    |
      | a router with most connections left six in a row unread         |
      | a stream went on at its version                                 |
      | half of the resumed streams were refused                        |
      | most of eleven resumed streams were refused                     |
      | 2 of 20 streams were refused after the loss of all routers      |
      | 3 of 20 were refused after the loss of all routers, with one engine of their version |
      | 3 of 20 streams were refused 2.5 s after the start of new routers |
      | 3 of 20 streams came to a process that was killed and had not ended |
      | 2 of 20 streams were refused beside a rollout |
      | 3 of 20 streams were refused beside a rollout, with one engine of their version |
      | 3 of 20 streams were refused beside a rollout by a router that was cut off |
      | 3 of 20 streams that began at a router cut off were refused beside a rollout |
      | 3 of 20 streams were refused beside a rollout whose callers did not name them |
      | two thirds of the resumed streams were refused, with one engine of their version |
      | a killed router cut a request                                   |
      | a request that ends its backends was kept from them in time     |
      | a part that ends engines was kept from them in time             |
      | half of the harmless requests began beside a part that ends engines |
      | a backend whose leaving was passed on got a request soon        |
      | a backend that said nothing got a request                       |
      | a router that was frozen since sent a leaving backend a request |
      | a router that was started since sent a leaving backend a request |
      | a backend at rest got two requests                              |
      | a backend whose leaving was passed on got a request after a long wait for a processor |
      | a backend at rest got three requests from a router that had waited long for a processor |
      | a router that had waited long for a processor sent a leaving backend a request |
      | the next life of a backend at rest got three requests           |
      | a backend with a limit of 1 a second got eleven requests        |
      | a router that had not been told sent a limited backend twelve   |
      | a router that was started since sent a limited backend twelve   |
      | a request crossed the close of its connection                   |
      | a backend broke off a stream                                    |
      | SIGHUP ended a process before its first line                    |
      | all backends were silent with the soak itself, and a stream was cut |
      | a backend listed as leaving got a request from a frozen router  |
      | a backend that left just before a restore got a request         |
      | a router started after a backend left and just before a restore, and sent it a request |
      | an old configuration was in force while the store was silent    |
      | a stopping router cut such a stream that it took 2.8 s after SIGTERM at its end |
      | a stopping router cut a stream that its engine had broken off   |
      | a stopping router, frozen 2.5 s before, cut a stream that one engine had turned away |
      | a router that was killed in its grace time cut a request        |
      | a router cut a stream, turned away by one engine, long after SIGHUP |
      | a router cut such streams beside a configuration about as often as at other times |
      | a stopping router gave up a request that it took 2.8 s after SIGTERM |
