"""Requests that offer another protocol, drawn requests, and what the reader makes of them."""

from __future__ import annotations

import h11
import trio
from behave import given, then, when
from http_server import HttpClient, HttpServer
from hypothesis import given as drawn
from hypothesis import settings, strategies
from transport_edge_steps import connect
from transport_server import wait_for

from limelever.common.sansio import Address
from limelever.proxy.request_headers import backend_headers
from limelever.transport.gateway import Gateway, serve_gateway
from limelever.transport.http_requests import RequestReader

HEAD_LIMIT = 16384
SETTINGS_FIELD = b"HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA\r\n"
SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED_BODY = b"%x;note=1\r\n%b\r\n0\r\nTrailer-Field: 1\r\n\r\n" % (len(SMUGGLED), SMUGGLED)
STATED = b"Content-Length: %d\r\n\r\n" % len(SMUGGLED) + SMUGGLED
FRAMINGS = {
    "of a stated length": STATED,
    "in chunks": b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKED_BODY,
    "that waits for 100 Continue": b"Expect: 100-continue\r\n" + STATED,
    "that is empty": b"Content-Length: 0\r\n\r\n",
}
FOLLOWING = b"POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"


def offer(protocol: str, framing: str) -> bytes:
    connection = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: %b\r\n" % protocol.encode()
    return b"POST /orders HTTP/1.1\r\nHost: a\r\n" + connection + SETTINGS_FIELD + FRAMINGS[framing]


def body_of(framing: str) -> bytes:
    return b"" if framing == "that is empty" else SMUGGLED


class Collector:
    """Keeps the complete requests and the refusal of a reader."""

    def __init__(self) -> None:
        self.requests = []
        self.failure = None

    def head_read(self, request, awaits_continue):
        return None

    def body_read(self, size):
        return None

    def request_read(self, request):
        self.requests.append((request.method, request.target, bytes(request.body)))

    def refused(self, failure):
        self.failure = failure


def read(data: bytes, cuts=()) -> Collector:
    collector = Collector()
    reader = RequestReader(collector, HEAD_LIMIT)
    edges = [0, *sorted(cuts), len(data)]
    for start, end in zip(edges, edges[1:], strict=False):
        reader.feed(data[start:end])
    return collector


@when("a caller offers {protocol} with a body {framing}, and sends another request behind it")
def when_offered(context, protocol, framing):
    context.wanted = [(b"POST", b"/orders", body_of(framing)), (b"POST", b"/next", b"ab")]
    context.caller = connect(context)
    context.caller.send(offer(protocol, framing) + FOLLOWING)


@then("the callers' listener has run both requests as they were sent")
def then_both_run(context):
    edge = context.edge
    assert wait_for(lambda: len(edge.requests) >= len(context.wanted)), edge.requests
    edge.server.in_loop(lambda: None)
    assert edge.requests == context.wanted, edge.requests


async def return_body(scope, receive, send):
    message = await receive()
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": message["body"]})


@given("an interface of a process that returns each body")
def given_interface(context):
    serve_interface(context, return_body)


def serve_interface(context, application):
    gateway = Gateway("test", Address("127.0.0.1", 0), application)

    async def serve(task_status):
        await serve_gateway(gateway, trio.Event(), task_status)

    context.interface = HttpServer(serve)
    context.add_cleanup(context.interface.stop)


@when("a client of that interface offers {protocol} with a body {framing}")
def when_offered_interface(context, protocol, framing):
    context.client = HttpClient(context.interface.address)
    context.add_cleanup(context.client.close)
    context.client.send(offer(protocol, framing))
    context.wanted = body_of(framing)


@then("that client reads its body")
def then_reads_body(context):
    assert context.client.body() == context.wanted.decode()


@then("requests with Upgrade are read whole when they are cut at any byte")
def then_cut_anywhere(context):
    for framing in FRAMINGS:
        data = offer("h2c", framing) + FOLLOWING
        wanted = [(b"POST", b"/orders", body_of(framing)), (b"POST", b"/next", b"ab")]
        for cuts in [*([n] for n in range(len(data))), range(1, len(data))]:
            found = read(data, cuts)
            assert found.failure is None and found.requests == wanted, (framing, cuts, found)


@then("the headers for an instance hold neither Upgrade nor HTTP2-Settings")
def then_not_forwarded(context):
    headers = (
        (b"connection", b"Upgrade"),
        (b"upgrade", b"h2c"),
        (b"http2-settings", b"AAMAAABk"),
        (b"x-kept", b"1"),
    )
    assert backend_headers(headers, (), frozenset()) == ((b"x-kept", b"1"),)


# --- drawn requests -----------------------------------------------------------------------------

METHODS = strategies.sampled_from([b"GET", b"HEAD", b"POST", b"PUT", b"DELETE", b"PATCH"])
TARGETS = strategies.sampled_from([b"/", b"/a/b?c=d", b"/%2F//x", b"*", b"/upgrade"])
FIELDS = strategies.sampled_from(
    [
        b"Connection: Upgrade, HTTP2-Settings",
        b"connection:  upgrade ,\tkeep-alive",
        b"CONNECTION: uPGRADE",
        b"Connection: close",
        b"Connection: close, Upgrade",
        b"Connection: keep-alive",
        b"Connection: ,,Upgrade,,",
        b"Upgrade: h2c",
        b"Upgrade: websocket, h2c",
        b"upgrade:\twebsocket/13 ",
        b"Upgrade:",
        SETTINGS_FIELD.strip(),
        b"Expect: 100-continue",
        b"TE: trailers",
        b"Trailer: X-End",
        b"Keep-Alive: timeout=5",
        b"Proxy-Connection: keep-alive",
        b"Sec-WebSocket-Version: 13",
        b"X-Empty:",
    ]
)
BODIES = strategies.sampled_from([b"", b"x", SMUGGLED, b"0\r\n\r\n", b"\r\n", bytes(range(256))])
EXTENSIONS = strategies.sampled_from([b"", b";a", b";a=b", b';a="b"'])
TRAILERS = strategies.sampled_from([b"", b"X-End: 1\r\n", b"Content-Length: 3\r\nHost: b\r\n"])


@strategies.composite
def framed_bodies(draw) -> bytes:
    """Draw framing fields with the body that they announce."""
    kind = draw(strategies.sampled_from(["none", "stated", "chunked"]))
    if kind == "none":
        return b"\r\n"
    if kind == "stated":
        body = draw(BODIES)
        return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    parts = [part for part in draw(strategies.lists(BODIES, max_size=3)) if part]
    chunks = [b"%x%b\r\n%b\r\n" % (len(part), draw(EXTENSIONS), part) for part in parts]
    end = b"0%b\r\n%b\r\n" % (draw(EXTENSIONS), draw(TRAILERS))
    return b"Transfer-Encoding: chunked\r\n\r\n" + b"".join(chunks) + end


@strategies.composite
def drawn_requests(draw) -> bytes:
    line = b"%b %b HTTP/1.1\r\nHost: a\r\n" % (draw(METHODS), draw(TARGETS))
    fields = draw(strategies.lists(FIELDS, max_size=5))
    return line + b"".join(field + b"\r\n" for field in fields) + draw(framed_bodies())


def read_by_h11(data: bytes) -> list[tuple[bytes, bytes, bytes]]:
    """Return the requests that h11 finds, up to the first one that it refuses."""
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(data)
    found = []
    try:
        while True:
            request = connection.next_event()
            if not isinstance(request, h11.Request):
                return found
            body = b""
            while isinstance(event := connection.next_event(), h11.Data):
                body += bytes(event.data)
            if not isinstance(event, h11.EndOfMessage):
                return found
            found.append((request.method, request.target, body))
            connection.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
            connection.send(h11.EndOfMessage())
            connection.start_next_cycle()
    except (h11.RemoteProtocolError, h11.LocalProtocolError):
        return found


@then("drawn requests have the method, target and body that h11 finds in the same bytes")
def then_same_as_h11(context):
    @settings(max_examples=600, deadline=None, derandomize=True, database=None)
    @drawn(
        strategies.lists(drawn_requests(), min_size=1, max_size=3),
        strategies.lists(strategies.integers(0, 2000), max_size=6),
    )
    def check(requests, cuts):
        data = b"".join(requests)
        ours = read(data, [cut for cut in cuts if cut < len(data)])
        theirs = read_by_h11(data)
        if ours.failure is None:
            assert ours.requests == theirs, (data, ours.requests, theirs)
        else:
            assert ours.requests == theirs[: len(ours.requests)], (data, ours.requests, theirs)

    check()
