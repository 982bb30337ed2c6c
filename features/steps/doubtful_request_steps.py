"""Raw requests that readers could take for different ones (RFC 9112), and steps that send them."""

from __future__ import annotations

from behave import then, when
from transport_edge_steps import connect

FOLLOWING = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
OWN_HOST = b"GET http://one.example/orders?x=1 HTTP/1.1\r\nHost: One.example\r\n\r\n"


def request(line: bytes, *headers: bytes, body: bytes = b"") -> bytes:
    return b"\r\n".join((line, *headers, b"", body))


GET = b"GET / HTTP/1.1"
POST = b"POST / HTTP/1.1"
HOST = b"Host: a"

DOUBTS = {
    "a length beside a transfer coding": request(
        POST, HOST, b"Content-Length: 4", b"Transfer-Encoding: chunked", body=b"0\r\n\r\n"
    ),
    "a transfer coding in HTTP/1.0": request(
        b"POST / HTTP/1.0", HOST, b"Transfer-Encoding: chunked", body=b"0\r\n\r\n"
    ),
    "two lengths that differ": request(
        POST, HOST, b"Content-Length: 4", b"Content-Length: 5", body=b"abcd"
    ),
    "a list of lengths": request(POST, HOST, b"Content-Length: 4, 5", body=b"abcd"),
    "a length with a sign": request(POST, HOST, b"Content-Length: +4", body=b"abcd"),
    "a transfer coding that is not known": request(
        POST, HOST, b"Transfer-Encoding: gzip, chunked", body=b"0\r\n\r\n"
    ),
    "a second transfer coding": request(
        POST,
        HOST,
        b"Transfer-Encoding: chunked",
        b"Transfer-Encoding: identity",
        body=b"0\r\n\r\n",
    ),
    "a chunk size that is no number": CHUNKED + b"-1\r\nab\r\n0\r\n\r\n",
    "a chunk longer than its size": CHUNKED + b"2\r\nabcd\r\n0\r\n\r\n",
    "the method CONNECT": request(b"CONNECT other.example:80 HTTP/1.1", b"Host: other.example:80"),
    "a target that names another host": request(b"GET http://other.example/ HTTP/1.1", HOST),
    "a fragment in its target": request(b"GET /a#b HTTP/1.1", HOST),
    "a control character in its target": request(b"GET /a\x01b HTTP/1.1", HOST),
    "no host": request(GET),
    "two hosts": request(GET, HOST, b"Host: b"),
    "a host with a path in it": request(GET, b"Host: a/b"),
    "a space before a header's colon": request(GET, b"Host : a"),
    "a bare carriage return in a header": request(GET, HOST, b"X: a\rContent-Length: 4"),
    "a NUL in a header": request(GET, HOST, b"X: a\0b"),
    "a version that is not served": request(b"GET / HTTP/2.0", HOST),
}


@when("a caller sends a request with {doubt}, and another behind it")
def when_doubtful(context, doubt):
    context.caller = connect(context)
    context.caller.send(DOUBTS[doubt] + FOLLOWING)


@when("a caller sends a request with a target that names its own host")
def when_own_host(context):
    context.caller = connect(context)
    context.caller.send(OWN_HOST)


@then('the callers\' listener was asked for "{target}"')
def then_target(context, target):
    assert context.edge.targets == [target.encode()], context.edge.targets
