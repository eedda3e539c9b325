Feature: Properties of the router's pure parts, over generated cases

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples:
      | property                                                      |
      | two leaders are a lease apart                                 |
      | two terms are a lease apart when groups meet                  |
      | a regular change of the leader suspends no orders             |
      | a leader that hears a higher token begins a new term          |
      | a quiet fleet soon has one leader                             |
      | the fleet keeps the retry budget                              |
      | events are the same however they are cut                      |
      | a stream is promised what it has and no more than it may take |
      | promises of a silent router are dropped                       |
      | a slow engine is known and forgiven                           |
      | changes of roles end at the wanted split                      |
      | the longest prefix finds the route                            |
      | documents of the platform become routes and backends          |
      | lines stay within their budget                                |
      | a line tells how many were dropped                            |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: the retry budget
      | property                                                         |
      | the fleet keeps the retry budget through breaks, cuts and kills  |
      | a reserved retry remains when the share shrinks                  |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: streams that fell silent
      | property                                            |
      | a stream that broke late waits for room             |
      | an engine whose streams are all silent is avoided   |
      | streams of two lives of an engine are watched apart |
      | a silent engine keeps its stream until a move is possible |
      | a stream leaves its silent engine only for one that begins |
      | a process that stood still accuses no engine        |
      | an engine that goes on is spared for one stream     |
      | whoever cannot be served is refused at once         |
      | whoever can be served late waits                    |
      | whoever becomes hopeless is refused then            |
      | a full service holds up no other                    |
      | the forecast learns how wrong it was                |
      | room is forecast from how long streams lasted       |
      | a caller who leaves spoils no other look-up         |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: several routers
      | property                               |
      | room that comes free is promised once  |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: long lives
      | property                                           |
      | backends that left are dropped                     |
      | a listed backend that leaves slowly is kept        |
      | the retry window holds no more than the window     |
      | votes of routers that left are dropped             |
      | engines whose change ended are not kept            |
      | metrics are bounded                                |
      | a failure of telemetry is counted and logged once  |
      | lines to a full pipe never wait                    |
      | warnings are bounded and not crowded out           |
      | an error behind a whole answer does not harm it    |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: large fleets
      | property                                     |
      | sums are what routers told last              |
      | queues elsewhere are what routers told last  |
      | the typical rate is the median               |
      | the cheapest of all pairs is chosen          |
      | room is found wherever it is                 |
      | a home moves only when its engine leaves     |
      | decisions cost little more in a large fleet  |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: few watch the store for all
      | property                                    |
      | few routers watch the store                 |
      | watchers that fell silent are replaced      |
      | watchers that are turned away are replaced  |
      | watchers that vanish are replaced           |
      | a router that hears nobody watches itself   |
      | enough routers watch                        |
      | repeated interrupts end only the call       |
      | an interrupt does not suppress cancellation |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: how often routers speak
      | property                                 |
      | news takes the place of a heartbeat      |
      | a large fleet speaks less often          |
      | starting together floods nobody          |
      | a router replaced at once soon hears all |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: memory for responses
      | property                            |
      | large responses wait for each other |
      | a pause of this process is no stall |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: a router on a narrow link
      | property                                                      |
      | changes use a small part of a narrow link                     |
      | the distance of backends is not a delay of the link           |
      | connects are forgotten though nobody asks for the delay       |
      | a link is used and not overloaded                             |
      | a link is used as far as connects are not delayed             |
      | some connections are always accepted                          |
      | a router that was idle for hours accepts                      |
      | a router that refuses much should get no new connections      |
      | a router that refuses much is ready unless half can take more |
      | a listener that is closed while it resumes stays closed       |
      | a connect over a full link is waited for                      |
      | the rate of the link is validated                             |
      | the limits of the machine are translated                      |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: engines that break answers off
      | property                                |
      | what one router learned all know        |
      | a silence is known to all               |
      | an engine that recovered is used again  |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: roles of engines
      | property                                     |
      | roles of a large fleet are set at once       |
      | a new leader replaces what has been missing  |
      | a new leader waits for the order of the last |
      | few engines change while answers are made    |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: connections in a planned stop
      | property                                                       |
      | what has arrived is read before an abort |
      | a request behind an answer that announced nothing is answered  |
      | an idle connection is closed late in a stop                    |
      | a request in the socket at a close is answered                 |
      | a raised idle timeout holds for connections that wait          |
      | a complete answer is sent although a stop ends                 |
      | a request that is handled is not flushed                       |
      | a response whose handler fails is cut off                      |
      | a caller that leaves before its rejection is no error          |
      | a caller that reads slowly gets the whole answer               |
      | a caller without acknowledgements is noticed                   |
      | a caller that is gone is noticed                               |
      | a caller that waits long for its answer gets it                |
      | a caller that pauses gets the whole answer                     |
      | silence counts only while an answer is owed                    |
      | silence counts only while data waits                           |
      | an error for HEAD keeps the connection                         |
      | a process that stood still reaches who has accepted            |
      | a request that came while the process stood still is read      |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: requests that end backends
      | property                                      |
      | poison ends few engines                       |
      | sound requests are spared                     |
      | crashes alone quarantine nobody               |
      | a backend that answers has not ended          |
      | quick ends count only as three                |
      | a request that is answered is sound           |
      | a pair counts where nothing else was at both  |
      | an end is put down to the stronger suspect    |
      | quarantine is forgotten                       |
      | suspects are bounded                          |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: entries of other writers
      | property                                       |
      | an odd entry names no backend                  |
      | an odd entry of a whole list names no backend  |
      | a good entry is read whole                     |
      | odd bytes keep the configuration               |
      | odd entries are logged once                    |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    # Guards against one odd entry that stops what routers tell each other.
    Examples: odd entries beside sound ones
      | property                                       |
      | what the source says can be sent on            |
      | a listed name can stand in a header            |
      | an odd entry of another router costs only itself |
      | a configuration in force can be used and sent on |
      | a sound configuration is used                  |
      | a routes file in force can be used and sent on |
      | a prefill result can be passed on              |
      | an odd revision ends no watch                  |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    # Guards against a store's response of which all items were lost because one was odd.
    Examples: odd items in a response of the store
      | property                                |
      | an odd item costs its own backend       |
      | an item without a key costs no backend  |
      | a deep unknown member is ignored        |
      | sound escapes are kept                  |
      | an odd last item ends no read           |
      | an odd response is no response          |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    # Guards against deeply nested bytes whose RecursionError ended the task that read them.
    Examples: deeply nested bytes
      | property                            |
      | a deep datagram is dropped          |
      | a deep state is refused             |
      | a deep packet or bundle is refused  |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    # Guards against one odd part of a state that keeps a router from sending its own.
    Examples: datagrams to all others
      | property                                        |
      | odd addresses of routers are not used           |
      | news that cannot be encoded stops no heartbeat  |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: lives of a backend
      | property                                             |
      | a later start ends what was believed                 |
      | an earlier start that is heard late changes nothing  |
      | lives that ended are dropped                         |
      | a crash loop is used with growing care               |
      | a restart of all empties no fleet                    |
      | what is said anew is not a new life                  |
      | one that is first heard of as it leaves is no last resort |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: bytes that nobody meant
      | property                            |
      | entries are read or refused         |
      | fields are read or refused          |
      | configurations are read or refused  |
      | datagrams are heard or dropped      |
      | states are unpacked or refused      |
      | heads are understood or refused     |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: how long backends take
      | property                                                 |
      | a backend that was late once is used again               |
      | a slow backend gets few requests                         |
      | a backend with some slow requests is given time for them |
      | equal backends get equal shares                          |

    Examples: what backends say of themselves
      | property                                            |
      | times to rest are read strictly                     |
      | numbers of any length are read or refused           |
      | what backends say is kept to under any load         |
      | a rest ends and the backend is used again           |
      | a rest of all ends when the first does              |
      | an entry that lapses and comes back forgets nothing |
      | a later life has said nothing                       |
      | what was said by who is gone is dropped             |
      | a life that spoke before it was heard of is believed |
      | a life that spoke under the name before is believed |
      | what the list gives others is the list alone        |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: limits that all routers share
      | property                                                  |
      | a limit is kept and used wherever the demand is           |
      | shares of connections never exceed what a backend takes   |
      | a limit is kept and used by 68 and 370 routers            |
      | many that could take the same permit do not               |
      | a limit is kept with lost datagrams                       |
      | a limit is kept while routers start anew                  |
      | a limit is kept while routers stand still                 |
      | a router that was not told itself keeps to the limit      |
      | limits that change are kept                               |
      | a limit that ends holds no more                           |
      | a limit of nothing is asked now and then                  |
      | whoever waits longest goes first                          |
      | answers that overtake each other are put in order         |
      | limits are read strictly                                  |
      | a limit belongs to one life                               |
      | an odd word ends no limit                                 |
      | a limited backend is left out only while it has no permit |
      | an end that all were told of is not taken back            |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: what queued up while a router stood still
      | property                                                |
      | what was told in a sleep is as old as the sleep         |
      | a router that woke asks the others at once              |
      | who is asked answers at once                            |
      | all that waits is read before anything is chosen        |
      | votes that queued up in a sleep make no leader          |
      | a router that runs believes what it reads               |
      | promises lapse whether or not anybody reads them        |
      | what is heard late counts from when it was told         |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: calls that wait for limited backends
      | property                                                |
      | many that wait look no more often than few              |
      | the least time left goes first                          |
      | whoever becomes hopeless in the queue is refused then   |
      | whoever is cancelled as it is woken leaves the queue    |
      | a hopeless newcomer is refused at once                  |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: a source that is restored from a backup
      | property                                                 |
      | responses from any era in any order converge             |
      | backends missing from a backup have a grace period       |
      | a removal after a restore takes effect at once           |
      | a leaving backend becomes ready only by a newer entry    |
      | a removed backend is used once its entry outlives expiry |
      | a held backend that is removed stays removed              |
      | a removal is kept through several restores               |
      | a withdrawal outlives the record of its backend          |
      | removals of lives that were never listed are kept        |
      | old withdrawals are dropped                              |
      | a restore is detected without an era header              |
      | a read with pages from two eras is rejected              |
      | messages are compatible with the previous version        |
      | few routers read everything after a restore              |
      | a restore is detected with the initial readers cut off   |

    Examples: a backend that is reserved for a repeat
      | property                                                      |
      | a slow backend is kept if the reserved one became unavailable |
      | a retry is made once the budget has room |
      | a reserved repeat is made though the budget has shrunk        |

  # Guards against streams that go on at another software version, or wait for theirs in vain.
  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: streams that are bound to a software version
      | property                                             |
      | a waiting stream holds up no other version           |
      | freed capacity goes to the stream of its version     |
      | capacity awaited elsewhere is taken last             |
      | a stream without an engine of its version is refused |
      | a stream that its engines refuse may come back       |
      | the forecast counts engines of the version           |
      | records are bounded and conflicts are unknown        |
      | only an uninterrupted list tells the sole version    |
      | a started router gets its replicas                   |
      | undecodable records and questions change nothing     |
      | a lone router knows only its own records             |
      | a started router that has asked all waits no longer  |
      | a resumed stream needs a listed backend              |
      | engines show a version only if it was alone          |
      | each version keeps a decode engine                   |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: prompt parts that crash engines
      | property                                      |
      | a crashing part is withheld after few crashes |
      | harmless parts beside it are spared           |
      | harmless parts beside a crashing request are spared |
      | crashes alone withhold no part                |
      | an answer anywhere proves a part sound        |
      | one request blames no part                    |
      | crashes at one moment count once              |
      | inseparable parts are withheld together       |
      | an engine that answers later has not crashed  |
      | an engine that answers before its restart is listed has crashed |
      | a withheld part is tried by one request at a time |
      | a part blamed wrongly comes free with a trial     |
      | withheld parts are forgotten                  |
      | part records are bounded                      |

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: what others send takes linear time
      | property                                       |
      | a long event takes linear time                 |
      | an event without end breaks the stream         |
      | an id too long for a number breaks the stream  |
      | invalid keep-alive timeouts are ignored        |
      | an invalid line of blanks is rejected soon     |
      | lines are parsed as by the library             |
      | responses of tiny pieces hold up no other task |
      | requests of tiny chunks hold up no other task  |
      | tiny events hold up no other task              |
      | a body of small chunks takes little memory     |
      | requests sent ahead are buffered up to a limit |

    Examples: what follows from the list of backends
      | property                                       |
      | questions that wait share a call to the source |
      | a list that is not confirmed tells nothing     |
      | only a report of the confirmed list counts     |
      | changes tell whether they omit a version       |
      | a record without a version is heeded           |

    Examples: what clients make a process hold
      | property                                   |
      | a slow client alone is waited for          |
      | stalled clients give way                   |
      | the first large requests arrive whole      |
      | an idle connection gives way to a new one  |
      | small requests find room beside large ones |
      | a refused connection leaves nothing        |
      | the sums of what is held are right         |
