"""Steps for the limits on what an HTTP/2 client may send, and on its open requests."""

from __future__ import annotations

import gc
from functools import partial
from unittest import mock

from behave import given, then, when
from h2.events import RequestReceived
from http2_caller import CANCEL, Http2Caller
from hyperframe.frame import (
    DataFrame,
    ExtensionFrame,
    Frame,
    HeadersFrame,
    PingFrame,
    PriorityFrame,
    RstStreamFrame,
    SettingsFrame,
    WindowUpdateFrame,
)
from hypothesis import given as for_all
from hypothesis import settings as property_settings
from hypothesis import strategies as st
from transport_edge_steps import HELD, start_edge
from transport_server import wait_for

from limelever.transport.http2_connection import Http2Connection
from limelever.transport.http2_frames import MAX_FRAME_BYTES, FrameGuard
from limelever.transport.http2_protocol import Http2Protocol
from limelever.transport.http2_requests import RequestMemory, memory_of

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
MAX_BLOCK_BYTES = 1 << 14
RESPONSE_BYTES = 100
OK = 200
UPDATES = WindowUpdateFrame(0, 1).serialize() + WindowUpdateFrame(1, 1).serialize()
REQUEST = HeadersFrame(1, b"\x82", flags=("END_HEADERS", "END_STREAM")).serialize()
PING = PingFrame(0, bytes(8)).serialize()
FORMS = {
    "an empty SETTINGS frame": SettingsFrame(0).serialize(),
    "a PING": PING,
    "an empty DATA frame": DataFrame(1).serialize(),
    "a PRIORITY frame": PriorityFrame(1).serialize(),
    "a frame of an unknown type": ExtensionFrame(0xFA, 0).serialize(),
    "a request and its reset": REQUEST + RstStreamFrame(1, CANCEL).serialize(),
}
FRAMES = st.one_of(
    st.sampled_from([*FORMS.values(), UPDATES]),
    st.builds(
        lambda size, ends: _headers(size, ends).serialize(),
        st.integers(0, MAX_BLOCK_BYTES),
        st.booleans(),
    ),
    st.builds(lambda size: DataFrame(1, bytes(size)).serialize(), st.integers(0, 1 << 15)),
)
for_examples = property_settings(derandomize=True, max_examples=200, deadline=None)


def _headers(size: int, ends: bool) -> Frame:
    return HeadersFrame(1, bytes(size), flags=("END_HEADERS",) if ends else ())


def verdict(guard: FrameGuard, data: bytes) -> str | None:
    """Return why the guard closes the connection for these bytes, if it does."""
    list(guard.parts(data, 0.0))
    return guard.reason


@given("a guard of an HTTP/2 client's frames")
def given_guard(context):
    context.guard = FrameGuard(MAX_BLOCK_BYTES, 0.0)
    context.verdicts = [verdict(context.guard, PREFACE)]


@when("the client reads {mebibytes:d} MiB, and updates two windows for each frame of 16 KiB")
def when_read(context, mebibytes):
    frames = (mebibytes << 20) // MAX_FRAME_BYTES
    for _ in range(frames):
        context.guard.sent(MAX_FRAME_BYTES)
    context.verdicts += [verdict(context.guard, UPDATES) for _ in range(frames)]


@when("the client sends {count:d} requests, with a PING and two window updates for each")
def when_requests(context, count):
    for _ in range(count):
        context.verdicts.append(verdict(context.guard, REQUEST))
        context.guard.sent(RESPONSE_BYTES + MAX_FRAME_BYTES // 16)
        context.verdicts.append(verdict(context.guard, PING + UPDATES))


@when("the client sends {form} {count:d} times")
def when_form(context, form, count):
    context.verdicts += [verdict(context.guard, FORMS[form]) for _ in range(count)]


@then("the guard lets all pass")
def then_pass(context):
    assert set(context.verdicts) == {None}, set(context.verdicts)


@then("the guard closes the connection")
def then_closes(context):
    assert set(context.verdicts) != {None}


@given("drawn frames of an HTTP/2 client")
def given_frames(context):
    context.frames = st.lists(FRAMES, max_size=8)


@then("the guard's verdict on them is the same however they are cut")
def then_same(context):
    @for_examples
    @for_all(context.frames, st.integers(1, 50))
    def check(frames, size):
        data = PREFACE + b"".join(frames)
        whole = FrameGuard(MAX_BLOCK_BYTES, 0.0)
        passed = b"".join(whole.parts(data, 0.0))
        assert whole.reason or passed == data
        cut = FrameGuard(MAX_BLOCK_BYTES, 0.0)
        parts = (data[start : start + size] for start in range(0, len(data), size))
        assert next(filter(None, (verdict(cut, part) for part in parts)), None) == whole.reason

    check()


def watch_header_lists(context) -> list[int]:
    """Return a list to which each sending adds the number of received header lists in memory."""
    numbers: list[int] = []
    send = Http2Connection._send

    async def counted_send(self, data):
        events = (each for each in gc.get_objects() if isinstance(each, RequestReceived))
        numbers.append(sum(1 for event in events if event.headers))
        await send(self, data)

    patch = mock.patch.object(Http2Connection, "_send", counted_send)
    patch.start()
    context.add_cleanup(patch.stop)
    return numbers


@given("an edge with memory for {count:d} requests over HTTP/2")
def given_edge(context, count):
    memory = partial(RequestMemory, count * memory_of(()) + memory_of(()) // 2)
    patch = mock.patch("limelever.transport.http_guard.RequestMemory", memory)
    patch.start()
    context.add_cleanup(patch.stop)
    context.header_lists = watch_header_lists(context)
    start_edge(context)
    context.caller = Http2Caller(context.edge.server.address)
    context.add_cleanup(context.caller.close)


@when("a caller over HTTP/2 sends {count:d} requests at once whose answers are held")
def when_held(context, count):
    context.streams = [context.caller.send(HELD.decode()) for _ in range(count)]


@when("it sends one more with its body")
def when_body(context):
    context.streams.append(context.caller.send("/", b"body"))


@then("the last two are answered {status:d}, and {run:d} requests were run")
def then_last(context, status, run):
    answered = [context.caller.status(stream) for stream in context.streams[2:]]
    assert answered == [status] * 2, answered
    assert wait_for(lambda: context.edge.run == run)


@then("no received header list was in memory while bytes were sent")
def then_freed(context):
    assert context.header_lists and not any(context.header_lists), context.header_lists


@when("a caller over HTTP/2 sends {count:d} requests for a tunnel {how}")
def when_tunnels(context, count, how):
    protocol = "other" if how == "of an unknown protocol" else "websocket"
    version = [] if how == "without a version" else [("sec-websocket-version", "13")]
    ends = how != "that do not end"
    fields = [(":protocol", protocol), *version]
    context.streams = [context.caller.connect(*fields, end_stream=ends) for _ in range(count)]


@then("each is answered {status:d}, and the listener holds no stream of them")
def then_no_stream(context, status):
    answered = [context.caller.status(stream) for stream in context.streams]
    assert answered == [status] * len(answered), answered
    protocols = [each for each in gc.get_objects() if isinstance(each, Http2Protocol)]
    assert protocols and not any(each.streams for each in protocols)


@when("the held requests are answered")
def when_released(context):
    context.edge.release()
    for stream in context.streams[:2]:
        assert context.caller.status(stream) == OK


@when("a caller over HTTP/2 resets {count:d} requests, and is served after each {pause:d}")
def when_resets(context, count, pause):
    for number in range(1, count + 1):
        context.caller.reset(context.caller.send(HELD.decode()))
        if number % pause == 0:
            assert context.caller.status(context.caller.send("/")) == OK


@then("the caller's next request over HTTP/2 is served")
def then_next(context):
    assert context.caller.status(context.caller.send("/")) == OK


@given("a callers' listener with {count:d} connections over HTTP/2")
def given_http2_connections(context, count):
    patch = mock.patch("limelever.transport.http_guard.HTTP2_CONNECTIONS", count)
    patch.start()
    context.add_cleanup(patch.stop)
    start_edge(context)


@when("{count:d} callers over HTTP/2 are each served and keep their connections")
def when_http2_kept(context, count):
    context.callers = []
    for _ in range(count):
        caller = Http2Caller(context.edge.server.address)
        context.add_cleanup(caller.close)
        assert caller.status(caller.send("/")) == OK
        context.callers.append(caller)


@then("only the first of these callers over HTTP/2 has lost its connection")
def then_first_http2_lost(context):
    assert not context.callers[0].is_open()
    for caller in context.callers[1:]:
        assert caller.status(caller.send("/")) == OK
