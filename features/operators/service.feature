Feature: Operators' RPCs as the official gRPC client sees them

  Background:
    Given an operators' service over loopback

  Scenario: A batch is applied and read back without its secret value
    When the gRPC client applies the service "orders" and the secret "key" and reads them back
    Then the version is in the answer and the secret's value is nowhere

  Scenario: A dangling reference has its full status and rich details
    When the gRPC client applies a route to a missing service
    Then the status is "FAILED_PRECONDITION" of kind "dangling-reference"
    And the rich details name the resource "service/gone"

  Scenario: A tenant is read back without its keys' digests, their number alone shows
    When the gRPC client applies the tenant "north" with the keys "one two" and reads it back
    Then the answer holds 2 empty digests, and the state those of "one two"

  Scenario: Every problem of a malformed batch is listed at once
    When the gRPC client applies a batch with three malformed fields
    Then the status is "INVALID_ARGUMENT" of kind "invalid-request"
    And the rich details list three fields

  Scenario: What overlaps within one batch is refused at the door
    When the gRPC client applies a batch that overlaps in routes and in headers
    Then the status is "INVALID_ARGUMENT" of kind "invalid-request"
    And the rich details list the overlaps of "route/one.path_prefix, route/three.secrets"
    And nothing reached the state

  Scenario Outline: What is refused at the door changes nothing
    When the gRPC client sends <what>
    Then the status is "<status>" of kind "<kind>"
    And nothing reached the state

    Examples:
      | what                     | status             | kind               |
      | an unknown credential    | UNAUTHENTICATED    | unauthenticated    |
      | no credential            | UNAUTHENTICATED    | unauthenticated    |
      | a write by a reader      | PERMISSION_DENIED  | permission-denied  |
      | an unknown method        | UNIMPLEMENTED      | method-not-allowed |
      | a compressed message     | UNIMPLEMENTED      | method-not-allowed |
      | a malformed message      | INVALID_ARGUMENT   | protocol-violation |
      | an unknown field         | INVALID_ARGUMENT   | invalid-request    |
      | a message over the limit | RESOURCE_EXHAUSTED | message-too-large  |

  Scenario: A write past its deadline says that its outcome is unknown
    When the gRPC client's write is not answered in time
    Then the status is "UNKNOWN" of kind "write-unknown"

  Scenario Outline: The answer to a write past its deadline leaves time to reach the client
    When a write with a deadline of <deadline> is not answered, in virtual time
    Then it is answered as write-unknown after <seconds> seconds

    Examples:
      | deadline | seconds |
      | 1S       | 0.9     |
      | 200m     | 0.16    |
      | 90S      | 59.9    |

  Scenario: A thousand problems still fit the client's limit on trailers
    When the gRPC client applies a batch with 900 malformed routes
    Then the status is "INVALID_ARGUMENT" of kind "invalid-request"

  Scenario: Data on an answered stream costs no other call, on its connection or another
    When a raw HTTP/2 client sends data on a stream that is already answered
    Then that client's next request is answered on the same connection
    And the gRPC client still gets its status

  Scenario: Data on a stream that was never opened costs that connection only
    When a raw HTTP/2 client sends data on a stream that was never opened
    Then the gRPC client still gets its status

  Scenario: A planned stop answers the call in flight
    When the service is stopped while a call is in flight
    Then that call is answered and new connections are refused

  Scenario: The page of errors holds what the code holds
    Then docs/ERRORS.md is what the table of errors gives
