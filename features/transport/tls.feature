Feature: TLS lets in who shows a certificate of the settings' authority, and says why not

  Scenario: Both sides' certificates are of the authority
    Given a TLS link server
    When an agent dials the TLS link server with a good certificate
    Then that agent's messages reach the link server's core

  Scenario: Processes with TLS settings reach one another
    Given a source of one replica with TLS in a process of its own
    When an operator gives that TLS source a service
    And a relay with TLS dials that source
    Then that relay is ready with the service's version

  Scenario Outline: A wrong certificate is refused with its reason on both sides
    Given a TLS link server
    When an agent dials the TLS link server with <certificate>
    Then that dial fails saying "<said to the agent>"
    And the link server logs 1012 saying "<logged by the server>"
    And the link server's core has heard of no link
    When an agent dials the TLS link server with a good certificate
    Then that agent's messages reach the link server's core

    Examples:
      | certificate                     | said to the agent                    | logged by the server         |
      | another authority's certificate | if it refused this certificate       | certificate verify failed    |
      | an expired certificate          | if it refused this certificate       | certificate has expired      |
      | no certificate                  | if it refused this certificate       | did not return a certificate |
      | no TLS                          | closed before it answered the hello  | wrong version number         |

  Scenario Outline: A server's wrong certificate is refused by who dials
    Given a TLS link server with <certificate>
    When an agent dials the TLS link server with a good certificate
    Then that dial fails saying "<reason>"
    And the link server's core has heard of no link

    Examples:
      | certificate                     | reason                                 |
      | another authority's certificate | unable to get local issuer certificate |
      | an expired certificate          | certificate has expired                |
      | a certificate of another host   | IP address mismatch                    |

  Scenario: TLS towards a listener without it
    Given a link server
    When an agent dials the link server by TLS
    Then that dial fails saying "wrong version number"
    And the link server logs 1012 with kind message-too-large
    And the link server still serves a member

  Scenario Outline: HTTP listeners show their certificate and ask for none
    Given a TLS listener for <whom>
    When an HTTPS client that trusts the authority asks it
    Then the TLS listener answers 200 over <protocol>
    When an HTTPS client that trusts another authority asks it
    Then that HTTPS client refuses the certificate
    And the TLS listener logs <code>
    When a client without TLS asks it
    Then the TLS listener closes that client and logs <code>
    When an HTTPS client that trusts the authority asks it
    Then the TLS listener answers 200 over <protocol>

    Examples:
      | whom      | protocol | code |
      | operators | HTTP/2   | 2502 |
      | callers   | HTTP/2   | 4031 |

  Scenario Outline: Files that make no certificate are named at the start
    Given TLS settings with <fault>
    Then every TLS context is refused naming that file and "<reason>"

    Examples:
      | fault                  | reason              |
      | a missing certificate  | No such file        |
      | a missing key          | No such file        |
      | another key            | KEY_VALUES_MISMATCH |

  Scenario: An authority that is missing is named at the start
    Given TLS settings with a missing authority
    Then a link's TLS context is refused naming that file and "No such file"

  Scenario: A renewed certificate is used by new connections without a restart
    Given a watched certificate
    When the watched certificate's files are renewed
    And the watch has looked at them
    Then new connections see the renewed certificate
    And the watch has logged 1050

  Scenario: Files that do not fit are refused and the former ones stay in use
    Given a watched certificate
    When the watched certificate's key is another's
    And the watch has looked at them
    Then new connections see the former certificate
    And the watch has logged 1051
    When the watched certificate's files are renewed
    And the watch has looked at them
    Then new connections see the renewed certificate
