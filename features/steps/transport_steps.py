"""Steps for links: openings, frames and limits."""

from __future__ import annotations

import struct

from behave import given, then, when
from malformed_frames import MALFORMED, OPENINGS
from transport_server import LinkServer, PlainClient, member, resident_bytes, wait_for

from limelever.common.framing import encode_frame
from limelever.protocol.calls_pb2 import CallBody
from limelever.protocol.link_pb2 import HelloAnswer

MEBIBYTE = 1 << 20
STREAM_ID = 7


def start_server(context, connections=16):
    context.link_server = LinkServer(connections)
    context.add_cleanup(context.link_server.stop)
    context.memory_before = resident_bytes()
    context.links = []


def connect(context):
    client = PlainClient(context.link_server.address)
    context.add_cleanup(client.close)
    return client


def open_member(context, name):
    client = member(context.link_server.address, name)
    context.add_cleanup(client.close)
    return client


def number(message):
    return int.from_bytes(message.data, "big")


def exchange(context, client, name, count=20):
    """Send messages and check that the core got them all, in order."""
    before = len(context.link_server.core.messages.get(name, ()))
    for index in range(count):
        client.send(encode_frame(CallBody(stream=STREAM_ID, data=index.to_bytes(4, "big"))))
    core = context.link_server.core
    assert wait_for(lambda: len(core.messages.get(name, ())) >= before + count), core.messages
    got = [number(message) for message in core.messages[name][before:]]
    assert got == list(range(count)), got


@given("a link server")
def given_link_server(context):
    start_server(context)


@given("a link server with {connections:d} connections")
def given_link_server_bounded(context, connections):
    start_server(context, connections)


@given("a member's link to the link server")
def given_member(context):
    context.member = open_member(context, "member")


@given("{count:d} members' links to the link server")
def given_members(context, count):
    context.links = [open_member(context, f"member-{index}") for index in range(count)]


@when("a stranger opens a link with {opening}")
def when_stranger_opens(context, opening):
    context.stranger = connect(context)
    context.stranger.send(OPENINGS[opening]())


@then("the link server answers the hello with {kind}")
def then_hello_refused(context, kind):
    answer = context.stranger.receive()
    assert isinstance(answer, HelloAnswer), answer
    assert (answer.accepted, answer.kind) == (False, kind), answer
    assert answer.reason
    assert context.stranger.receive() is None


@then("the link server logs {code:d} with kind {kind}")
def then_logs_kind(context, code, kind):
    found = wait_for(lambda: context.link_server.log.of(code))
    assert [event.fields["kind"] for event in found] == [kind], found
    assert found[0].fields["reason"]


@then("the link server logs {code:d}")
def then_logs(context, code):
    assert wait_for(lambda: context.link_server.log.of(code)), code


@then("the link server's core has heard of no link")
def then_no_link(context):
    assert not context.link_server.core.opened


@then("the link server still serves a member")
def then_still_serves(context):
    """Connect until a link is accepted: the server frees the place of a closed link at its end."""
    client = wait_for(lambda: accepted_member(context, "late-member"))
    assert client is not None
    exchange(context, client, "late-member")


def accepted_member(context, name):
    """Open a link as an agent does; return ``None`` if it is closed over the limit."""
    try:
        return open_member(context, name)
    except AssertionError:
        return None


@when("another member sends {count:d} messages and then bytes that do not parse")
def when_messages_then_malformed(context, count):
    context.other = open_member(context, "other")
    data = b"".join(encode_frame(CallBody(stream=1)) for _ in range(count))
    context.other.send(data + MALFORMED["bytes that do not parse"]())


@when("another member sends {count:d} frames at once that inflate to {size:d} MiB each")
def when_many_inflating(context, count, size):
    context.other = open_member(context, "other")
    body = CallBody(stream=1, data=bytes(size * MEBIBYTE))
    one = encode_frame(body, compress_from=1)
    assert len(one) * count < 65536, "they are meant to fit into one chunk"
    context.memory_before = resident_bytes()
    context.link_server.core.messages = BoundedMessages()
    context.other.send(one * count)


class BoundedMessages(dict):
    """Forgets the bodies of messages, as a core does that has handled them."""

    def setdefault(self, key, default):
        return super().setdefault(key, ForgetfulList())


class ForgetfulList(list):
    def append(self, message):
        super().append(type(message)())


@when("another member sends {frame}")
def when_member_sends(context, frame):
    context.other = open_member(context, "other")
    context.other.send(MALFORMED[frame]())


@then("the link server closes the other member's link")
def then_closes_other(context):
    assert context.other.receive() is None
    core = context.link_server.core
    assert wait_for(lambda: core.connection_of("other") in core.closed)


@then("the member's own link still carries every message")
def then_member_served(context):
    exchange(context, context.member, "member")


@then("the link server's core has the other member's {count:d} messages")
def then_core_has(context, count):
    core = context.link_server.core
    wait_for(lambda: len(core.messages.get("other", ())) >= count)
    assert len(core.messages.get("other", ())) == count, len(core.messages.get("other", ()))


@then("the link server grew by less than {limit:d} MiB meanwhile")
def then_grew(context, limit):
    peak = max(context.link_server.core.largest_memory, resident_bytes())
    grown = (peak - context.memory_before) / MEBIBYTE
    assert grown < limit, grown


@when("{count:d} strangers each send {size:d} bytes of a hello that never ends")
def when_endless_hellos(context, count, size):
    context.memory_before = resident_bytes()
    context.strangers = [connect(context) for _ in range(count)]
    for stranger in context.strangers:
        stranger.send(struct.pack(">I", 16 * 1024) + bytes(size))


@then("the link server closes all of these strangers")
def then_closes_strangers(context):
    for stranger in context.strangers:
        answer = stranger.receive()
        assert answer is None or not answer.accepted, answer
        assert stranger.receive() is None


@when("another member reads nothing while the core sends it {size:d} MiB")
def when_reads_nothing(context, size):
    context.other = open_member(context, "other")
    core = context.link_server.core
    assert wait_for(lambda: "other" in core.opened.values())
    context.link_server.send("other", CallBody(stream=1, data=bytes(MEBIBYTE)), size)


@then("the link server's core hears that the slow link is closed")
def then_slow_closed(context):
    core = context.link_server.core
    slow = core.connection_of("other")
    assert wait_for(lambda: core.closed.get(slow)) == "send queue full", core.closed


@when("one stranger too many connects")
def when_one_too_many(context):
    assert connect(context).receive() is None


@when("a member's link is closed")
def when_member_leaves(context):
    context.links.pop().close()
    core = context.link_server.core
    assert wait_for(lambda: core.closed)
