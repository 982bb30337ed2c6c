"""Steps for peers of a later version, and for peers whose machine is gone."""

from __future__ import annotations

import socket

import trio
from behave import then, when
from transport_server import CREDENTIAL, PlainClient, hello, wait_for

from limelever.common.errors import ErrorKind
from limelever.common.framing import encode_frame
from limelever.common.sansio import Purpose, Role
from limelever.common.settings import LinkSettings
from limelever.protocol.calls_pb2 import CallBody
from limelever.protocol.link_pb2 import HelloAnswer
from limelever.transport.links import Link, LinkIdentity, dial
from limelever.transport.streams import KEEP_ALIVE_SECONDS

LATER_FIELD = b"\xfa\x7f\x05later"
"""Field 2047 of type bytes, which no message has today."""


def of_a_later_version(message):
    later = type(message).FromString(message.SerializeToString() + LATER_FIELD)
    frame = encode_frame(later)
    assert LATER_FIELD in frame
    return frame


@when("a member of a later version opens a link and sends {count:d} messages")
def when_later_version(context, count):
    client = PlainClient(context.link_server.address)
    context.add_cleanup(client.close)
    client.send(of_a_later_version(hello("other")))
    answer = client.receive()
    assert isinstance(answer, HelloAnswer) and answer.accepted, answer
    for _ in range(count):
        client.send(of_a_later_version(CallBody(stream=1)))


@when("another connection opens, and the purpose of its coming hello ends meanwhile")
def when_purpose_ends(context):
    server = context.link_server
    context.late = PlainClient(server.address)
    context.add_cleanup(context.late.close)
    assert wait_for(lambda: server.listener.open_links == 2)
    server.end_purpose(Purpose.REGISTRATION)
    context.late.send(encode_frame(hello("late")))


@then("that hello is refused as permission-denied")
def then_hello_refused(context):
    answer = context.late.receive()
    assert isinstance(answer, HelloAnswer) and not answer.accepted, answer
    assert answer.kind == ErrorKind.PERMISSION_DENIED.value, answer


@then("the link server still has the member's link")
def then_still_linked(context):
    server = context.link_server
    server.send("member", CallBody(stream=1), 1)
    assert isinstance(context.member.receive(), CallBody)


def seconds_of_silence(stream: trio.SocketStream) -> int:
    """Return after how many seconds of silence the other machine is asked, 0 for never."""
    if not stream.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
        return 0
    return stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)


def unacknowledged_ms(stream: trio.SocketStream) -> int:
    return stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


@then("both ends of a link give up bytes that are not acknowledged in the time of their settings")
def then_gives_up(context):
    server = context.link_server
    accepted = server.link_of("member")
    assert unacknowledged_ms(accepted._stream) == LinkSettings().unacknowledged_ms

    async def main():
        identity = LinkIdentity(Role.AGENT, "dialling", "zone-a", CREDENTIAL)
        settings = LinkSettings(unacknowledged_ms=1234)
        link = await dial(server.address, Purpose.REGISTRATION, identity, settings, None)
        assert isinstance(link, Link), link
        assert unacknowledged_ms(link._stream) == 1234
        await link.flush_and_close()

    trio.run(main)


@then("both ends of a link ask a silent machine for a sign of life")
def then_keep_alive(context):
    server = context.link_server
    accepted = server.link_of("member")
    assert seconds_of_silence(accepted._stream) == KEEP_ALIVE_SECONDS

    async def main():
        identity = LinkIdentity(Role.AGENT, "dialling", "zone-a", CREDENTIAL)
        link = await dial(server.address, Purpose.REGISTRATION, identity, LinkSettings(), None)
        assert isinstance(link, Link), link
        assert seconds_of_silence(link._stream) == KEEP_ALIVE_SECONDS
        await link.flush_and_close()

    trio.run(main)
