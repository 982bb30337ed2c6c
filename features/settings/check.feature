Feature: Settings files are checked whole, before a process starts

  Scenario: Everything that is wrong is listed in one go
    Given a settings file with the text
      """
      role = "relay"
      name = ""
      zone = 7
      listen = "10.0.0.5"
      sources = ["10.0.0.2:7101", "10.0.0.2:7101"]
      peers = ["10.0.0.6:0"]
      colour = "green"
      snapshot_keys = "not a list"

      [tls]
      key = "relay.key"

      [links]
      connections = "many"
      hello_timeout_ms = true

      [log]
      level = "LOUD"

      [[credentials.accepted]]
      role = "prince"

      [distribution]
      batch_delay_ms = 99999

      [endpoints]
      heartbeat_ms = 6000
      """
    When the settings file is checked
    Then the settings check lists exactly
      | key                                | reason                                                       |
      | name                               | must not be empty                                            |
      | zone                               | must be a string, is a whole number                          |
      | listen                             | must be "host:port", is "10.0.0.5"                           |
      | sources                            | must not name anything twice                                 |
      | peers                              | 10.0.0.6:0 can't be dialled: its port is 0                   |
      | colour                             | unknown key                                                  |
      | snapshot_keys                      | must be a list, is a string                                  |
      | tls                                | needs certificate, key and authority, or none                |
      | links.connections                  | must be a whole number, is a string                          |
      | links.hello_timeout_ms             | must be a whole number, is true or false                     |
      | log.level                          | must be one of DEBUG, INFO, WARNING, ERROR, is "LOUD"        |
      | credentials.accepted[0].role       | must be one of source, relay, proxy, agent, operator, node, control, is "prince" |
      | credentials.accepted[0].credential | missing key                                                  |
      | distribution.batch_delay_ms        | must be between 0 and 10000, is 99999                        |
      | endpoints.silent_after_ms          | must exceed endpoints.heartbeat_ms                           |
    And each problem of the settings names the file

  Scenario Outline: Keys that clash are refused
    Given the sample of <role> with <changes>
    When the settings file is checked
    Then the settings check lists exactly
      | key   | reason   |
      | <key> | <reason> |

    Examples:
      | role   | changes                                                        | key                                | reason                                          |
      | agent  | region="north" zones={"lodz-a"="south"}                        | region                             | must be the region of zone in zones             |
      | proxy  | zones={"lodz-a"=""}                                            | zones                              | must not hold an empty name or value            |
      | node   | zones={"lodz-a"=7}                                             | zones                              | must be a string, is a whole number             |
      | agent  | queue.max_body_bytes=9000000                                   | queue.max_body_bytes               | must not exceed queue.total_bytes               |
      | agent  | drain.limit_ms=30001                                           | drain.limit_ms                     | must not exceed stop_limit_ms                   |
      | agent  | tls.certificate="a"                                            | tls                                | needs certificate, key and authority, or none   |
      | proxy  | edge.key="a"                                                   | edge.certificate                   | TLS needs certificate and key, or none          |
      | proxy  | edge.max_body_bytes=9000000                                    | edge.max_body_bytes                | must not exceed edge.buffered_bytes             |
      | proxy  | calls.max_answer_bytes=9000000                                 | calls.max_answer_bytes             | must not exceed calls.assembly_bytes            |
      | proxy  | balancing.first_ejection_ms=60001                              | balancing.first_ejection_ms        | must not exceed balancing.longest_ejection_ms   |
      | proxy  | configuration.probe_interval_ms=8000                           | configuration.stale_after_ms       | must exceed configuration.probe_interval_ms     |
      | proxy  | keepers=["10.0.0.2:1","10.0.0.3:1"]                            | keepers                            | must be an odd number of keepers                |
      | proxy  | keepers=["10.0.0.2:1","10.0.0.2:1","10.0.0.3:1"]               | keepers                            | must not name anything twice                    |
      | relay  | endpoints.silent_after_ms=2000                                 | endpoints.silent_after_ms          | must exceed endpoints.heartbeat_ms              |
      | relay  | subscription.stale_after_ms=2000                               | subscription.stale_after_ms        | must exceed subscription.probe_interval_ms      |
      | relay  | snapshot_keys=["c2hvcnQ="]                                     | snapshot_keys                      | must be base64 of 32 bytes each                 |
      | source | data_folder=""                                                 | data_folder                        | a source needs a data folder                    |
      | source | peers=[{name="b",address="10.0.0.8:1"}]                        | peers                              | the group must have an odd size                 |
      | source | peers=[{name="b",address="10.0.0.8:1"},{name="c",address="10.0.0.8:1"}] | peers                     | must not name a replica or an address twice     |
      | source | replication.lease_ms=1001                                      | replication.lease_ms               | must not exceed replication.election_timeout_ms |
      | source | replication.heartbeat_interval_ms=501                          | replication.heartbeat_interval_ms  | must be at most half of replication.lease_ms    |

  Scenario: A replica that names itself as its peer is refused
    Given the sample of source with name="b" peers=[{name="b",address="10.0.0.8:1"},{name="c",address="10.0.0.9:1"}]
    When the settings file is checked
    Then the settings check lists exactly
      | key   | reason                           |
      | peers | must not name the replica itself |

  Scenario: Settings of another role are refused by that alone
    Given the sample of relay with zone=7
    When the settings file is checked for role agent
    Then the settings check lists exactly
      | key  | reason                                                     |
      | role | settings are of role "relay", this process is "agent"      |

  Scenario: A file without a role is refused, with the roles there are
    Given a settings file with the text
      """
      name = "nobody"
      """
    When the settings file is checked
    Then the settings check lists exactly
      | key  | reason                                                 |
      | role | must be one of source, relay, proxy, agent, node, control, is missing |

  Scenario Outline: Options that go over the file are checked with it
    Given the sample of agent
    When the settings file is checked with the option <option>
    Then the settings check lists exactly
      | key   | reason   |
      | <key> | <reason> |

    Examples:
      | option           | key            | reason                                     |
      | zone             | zone           | must be "key=value"                        |
      | .zone=1          | .zone=1        | must be "key=value"                        |
      | zone.deep=1      | zone.deep      | "zone" is a string, not a table            |
      | queue.colour=1   | queue.colour   | unknown key                                |
      | backend.slots=0  | backend.slots  | must be between 1 and 1024, is 0           |
      | backend.slots=x  | backend.slots  | must be a whole number, is a string        |

  Scenario: A secret is never shown with what is wrong
    Given each key that holds a secret has a value of a wrong type or length
    Then no problem of the settings shows the value

  Scenario: A file that is no TOML, or none at all, is one problem
    Then a settings file that is "absent" is refused with "No such file or directory"
    And a settings file that is "damaged" is refused with "not TOML"
    And a settings file that is "not text" is refused with "not TOML"
    And a settings file that is "nested 20000 deep" is refused with "nested too deeply"

  Scenario: The check never crashes
    Then no table of any shape crashes the settings check
    And no change of one key of a sample crashes it, and what it finds names that key
