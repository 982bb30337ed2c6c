"""Steps that prove the laboratory's links between processes: delayed, cut, silent."""

from contextlib import suppress
from functools import partial

import trio
from behave import given, then, when
from lab_stand_ins import one_call, scratch, start

from limelever_lab.fleet.deployment import load_deployment
from limelever_lab.fleet.ports import free_ports
from limelever_lab.load.outcomes import Fate
from limelever_lab.standins.delay_link import DelayLink, Direction
from limelever_lab.standins.network import NetworkLink, send_command, write_links

LINK_LIMIT_SECONDS = 30


@given("a link of {delay:d} ms to it")
def step_link(context, delay):
    context.link_port, context.control_port = free_ports(2)
    context.classes = tuple(
        c for c in load_deployment("koszyk").calls if c.service == context.service
    )
    links = scratch(context) / "links.json"
    write_links(links, [NetworkLink("caller", "backend", context.link_port, context.ports[0])])
    arguments = ("--links", links, "--control-port", context.control_port, "--delay-ms", delay)
    start(context, "network", "network", *map(str, arguments), port=context.control_port)


@when("one call is made through the link")
def stepone_call(context):
    context.record = one_call(context, context.link_port)


@then("its answer takes at least {least:d} ms")
def step_answer_time(context, least):
    assert context.record.fate is Fate.ANSWERED, context.record
    assert context.record.seconds * 1000 >= least, context.record


@when("the link is {command}")
def step_link_command(context, command):
    line = {"cut": "cut backend", "healed": "heal", "silenced": "isolate backend caller"}[command]
    assert trio.run(send_command, context.control_port, line)


@when("a link swallows bytes of a connection and is healed")
def step_swallow_and_heal(context):
    context.received = trio.run(_swallow_and_heal)


async def _swallow_and_heal():
    """Send through a link before, while and after it is silent; return what comes back."""
    with trio.fail_after(LINK_LIMIT_SECONDS):
        async with trio.open_nursery() as nursery:
            link = DelayLink("127.0.0.1", await _serve(nursery, _echo), 0.0)
            port = await _serve(nursery, link.forward)
            received = await _send_around_silence(link, port)
            nursery.cancel_scope.cancel()
    return received


async def _serve(nursery, handler):
    (listener,) = await nursery.start(partial(trio.serve_tcp, handler, 0, host="127.0.0.1"))
    return listener.socket.getsockname()[1]


async def _send_around_silence(link, port):
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        await stream.send_all(b"before")
        received = await stream.receive_some()
        link.silence(Direction.FORWARD)
        await stream.send_all(b"swallowed")
        while not link.swallowed_bytes:
            await trio.sleep(0.001)
        link.heal()
        with suppress(trio.BrokenResourceError):
            await stream.send_all(b"after")
            received += await stream.receive_some()
    return received


async def _echo(stream):
    async for data in stream:
        await stream.send_all(data)


@when("a link swallows the echo of what is sent on it")
def step_swallow_echo(context):
    context.sent = (b"first", b"second", b"third")
    context.received = trio.run(_send_with_silent_echo, context.sent)


async def _send_with_silent_echo(parts):
    """Send parts over a link whose way back is silent; return what its target got."""
    received = []

    async def note_and_echo(stream):
        async for data in stream:
            received.append(data)
            await stream.send_all(data)

    with trio.fail_after(LINK_LIMIT_SECONDS):
        async with trio.open_nursery() as nursery:
            link = DelayLink("127.0.0.1", await _serve(nursery, note_and_echo), 0.0)
            link.silence(Direction.BACKWARD)
            stream = await trio.open_tcp_stream("127.0.0.1", await _serve(nursery, link.forward))
            async with stream:
                await _send_each_swallowed(stream, link, parts)
            nursery.cancel_scope.cancel()
    return b"".join(received)


async def _send_each_swallowed(stream, link, parts):
    sent = 0
    for part in parts:
        await stream.send_all(part)
        sent += len(part)
        while link.swallowed_bytes < sent:
            await trio.sleep(0.001)


@then("the target received all that was sent")
def step_received_all(context):
    assert context.received == b"".join(context.sent), context.received


@then("the connection was closed, with nothing after the gap")
def step_nothing_after_gap(context):
    assert context.received == b"before", context.received


@then("a call through the link is cut or not sent")
def step_call_cut(context):
    assert one_call(context, context.link_port).fate is Fate.LOST


@then("a call through the link is answered")
def step_call_answered(context):
    assert one_call(context, context.link_port).fate is Fate.ANSWERED
