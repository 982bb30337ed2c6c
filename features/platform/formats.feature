Feature: The platform's formats become the product's messages

  Scenario: Any configuration is taken over whole, and its document as it was sent
    Given any sound configuration of the platform, all of it is in the product's batch

  Scenario Outline: A configuration that is <flaw> is refused before anything is written
    Then the platform's configuration that is <flaw> is refused with 400

    Examples:
      | flaw                              |
      | cut short                         |
      | no object                         |
      | without a version                 |
      | of a version that is no number    |
      | with an empty host                |
      | with a route type that is unknown |
      | with a timeout of 0               |
      | with two routes at one place      |
      | with a version not above its base |
      | with a path that is no path       |
      | with all weights 0                |
      | with one key at two tenants       |
      | with one key twice at a tenant    |
      | with an empty key                 |
      | with a key that has a space       |
      | with a key that is no ASCII       |
      | with a key of half a character    |
      | with a key that is a number       |
      | with keys that are no list        |
      | with a tenant's name twice        |
      | with a tenant without a name      |
      | with a negative rate              |
      | with a rate that is no number     |
      | with a rate that is a text        |
      | with a burst that is a truth      |
      | with tenants that are no list     |
      | with a public mark that is a text |

  Scenario: Tenants are taken over with digests in place of keys, and public routes as such
    Given a configuration of the platform with any tenants, all of them are in the product's batch

  Scenario: A refusal of a key doesn't repeat it
    Then no refusal of a configuration with a bad key repeats the key

  Scenario Outline: A machine that is cut off lets keys in as the platform's bounds say
    Then a machine with <strict> revocation within <bound> ms lets keys in for <taken> ms after a proof

    Examples:
      | strict | bound | taken |
      | false  | 5000  | 0     |
      | no     | 5000  | 0     |
      | true   | 5000  | 4000  |
      | true   | 2500  | 2000  |

  Scenario Outline: The platform's bounds say what tenants' limits mean, alike to all machines
    Then limits whose quotaOver is <over> and quotaSlack <slack> allow <over_percent> percent and <calls> calls more in <window> ms

    Examples:
      | over | slack | over_percent | calls | window |
      | 0.1  | 20    | 10           | 20    | 5000   |
      | 0.29 | 0     | 29           | 0     | 5000   |
      | many | -1    | 10           | 20    | 5000   |
      | 7    | 1e9   | 100          | 100000 | 5000  |
      | none | none  | 10           | 20    | 5000   |

  Scenario Outline: A heartbeat that is <flaw> is refused
    Then the platform's heartbeat that is <flaw> is refused with 400

    Examples:
      | flaw                  |
      | cut short             |
      | without its info      |
      | without a sequence    |
      | with a text for slots |
      | without an address    |
      | without a zone        |
      | without a version     |
      | without its warm-up   |
      | of an unknown state   |
      | born at a text        |
      | born at a fraction    |
      | with a half character |

  Scenario: A heartbeat of any shape is a report or is refused, and raises nothing
    Given any bytes and any JSON as a heartbeat, each is a whole report or refused with 400

  Scenario Outline: A heartbeat whose instance has the identifier <identifier> is refused
    Then the platform's heartbeat of the instance <identifier> is refused with 400

    Examples:
      | identifier        |
      | with a line break |
      | with a space      |
      | without a letter  |
      | that is too long  |

  Scenario: A heartbeat becomes a report
    Given any heartbeat, the report says what it says

  Scenario: Settings of any deployment become the product's
    Given the platform's settings of a machine with an instance and of one of the core
    Then the node and the control process find each other's ports
    And no field that is unknown matters

  Scenario Outline: A number that is <flaw> keeps no process from starting where it can do without
    Then a node starts and logs it while one of its numbers is <flaw>: <logged>
    And a control process starts and logs it while one of its numbers is <flaw>: <logged>

    Examples:
      | flaw          | logged |
      | whole         | no     |
      | with fraction | no     |
      | missing       | yes    |
      | empty         | yes    |
      | no number     | yes    |
      | below 0       | yes    |
      | not finite    | yes    |

  Scenario Outline: A field without which no process can serve is named when it is <flaw>
    Then a node whose needed field is <flaw> says which one
    And a control process whose needed field is <flaw> says which one

    Examples:
      | flaw    |
      | missing |
      | empty   |

  Scenario Outline: A start with <field> <value> is refused with the field's name, not a traceback
    Then the program ends with status 1 and a log line that names <field> when it is <value>

    Examples:
      | field                     | value  |
      | portRange                 | 7380   |
      | portRange                 | 1,1    |
      | seeds                     | a,b    |
      | listenAddrs.control       | nobody |

  Scenario Outline: An operator's <failure> is answered with <status>
    Then the platform answers <failure> with <status>

    Examples:
      | failure            | status |
      | conflict           | 412    |
      | dangling-reference | 400    |
      | overlapping        | 400    |
      | invalid-request    | 400    |
      | no-quorum          | 503    |
      | write-unknown      | 504    |
      | disk-full          | 507    |

  Scenario: A replica that does not lead sends the operator to the one that does
    Then the platform answers not-leader with 307 and the leader's address

  Scenario: The platform's regions are those of all processes
    Then the platform's fields of regions reach the node's proxy and agent and the control process

  # Guards against probes on deployments that don't ask for them, and none on those that do.
  Scenario: Links are probed where zones lie in several regions
    Then nodes avoid links that are silent for 550 ms only where there are two regions

  # Guards against warming instances that are sent calls without a limit.
  Scenario: The warm-up of a service is taken over
    Then a service of 3 s and 3.2 calls a second while it warms up becomes one of 3000 ms and 3.2
    And a service without a warm-up has no limit
    And a service whose warm-up is negative, no number or too long is refused

  Scenario Outline: The platform's bounds say how far a warming instance's rate may be exceeded
    Then bounds of <over> and <slack> let a node exceed the rate to <percent> percent and by <calls>

    Examples:
      | over | slack | percent | calls |
      | 1.5  | 8     | 150     | 8     |
      | 2.25 | 3     | 225     | 3     |
      | none | none  | 150     | 8     |
      | many | -1    | 150     | 8     |
      | 0.5  | 0     | 100     | 0     |

  Scenario: A control process learns the zones of the deployment, if the fields name them
    Given the platform's settings of a machine with an instance and of one of the core
    Then fields that place zones in regions give the control process just these zones

  Scenario: The platform's allowed regions bind routes and tenants
    Then a configuration whose route and tenant have allowed regions is taken over with both

  Scenario Outline: An order that names a region that <flaw> is refused with the reason
    Then the control process refuses an order with the allowed region "<region>" because "<reason>"

    Examples:
      | flaw        | region | reason                    |
      | isn't known | east   | no zone is in region east |
      | is empty    |        | empty region name         |

  Scenario Outline: What a process may hold for others fits into the memory of its machine
    Then with <memory> MB a node may hold <bodies> MB of bodies
    And with <memory> MB a control process may keep <values> MB of former values at each publisher

    Examples:
      | memory  | bodies | values |
      | 300     | 177    | 30     |
      | 200     | 102    | 20     |
      | 64      | 8      | 6.4    |
      | 9000    | 1000   | 900    |
      | missing | 177    | 29.6   |
