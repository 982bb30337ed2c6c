"""Measures the memory that one large body takes at each step of its way."""

from __future__ import annotations

import tracemalloc

import trio
from behave import then
from upgrade_offer_steps import Collector

from limelever.agent.backend_client import BackendClient
from limelever.agent.calls import CallTable
from limelever.agent.interface import StartAttempt
from limelever.agent.response_parser import ResponseParser
from limelever.agent.settings import BackendSettings
from limelever.common.body_buffer import BodyBuffer
from limelever.common.sansio import Address
from limelever.protocol.calls_pb2 import CallStart
from limelever.proxy.answer_assembly import AnswerAssembly, AssemblyLimits
from limelever.transport.http_requests import RequestReader

MEBIBYTE = 1 << 20
BODY_BYTES = 32 * MEBIBYTE
PART = bytes(1 << 16)
PARTS = BODY_BYTES // len(PART)


class LastRequest(Collector):
    def request_read(self, request):
        self.request = request


def read_request():
    sink = LastRequest()
    reader = RequestReader(sink, 16384)
    reader.feed(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
    for _ in range(PARTS):
        reader.feed(PART)
    assert len(sink.request.body) == BODY_BYTES


def read_chunked_request():
    sink = LastRequest()
    reader = RequestReader(sink, 16384)
    reader.feed(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(PARTS):
        reader.feed(b"%x\r\n%b\r\n" % (len(PART), PART))
    reader.feed(b"0\r\n\r\n")
    assert len(sink.request.body) == BODY_BYTES


def read_response():
    parser = ResponseParser(b"GET", BODY_BYTES)
    parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
    for _ in range(PARTS):
        parser.feed(PART)
    assert len(parser.response.body) == BODY_BYTES


def send_to_slow_backend():
    async def slow(stream):
        await trio.sleep_forever()

    async def send():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, slow, 0)
            address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
            client = BackendClient(BackendSettings(address=address), nursery, lambda event: None)
            client.start(StartAttempt(1, "s", b"POST", b"/", (), bytes(BODY_BYTES), 60.0))
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()

    trio.run(send)


def assemble_call():
    call = CallTable().add(1, CallStart(stream=1), 10.0)
    for _ in range(PARTS):
        call.body.append(PART)
    assert len(call.start_attempt(0.0).body) == BODY_BYTES


class IncompleteAnswer:
    def __init__(self):
        self.body = BodyBuffer()
        self.held_bytes = 0


def assemble_answer():
    assembly = AnswerAssembly(AssemblyLimits(BODY_BYTES, BODY_BYTES))
    attempt = IncompleteAnswer()
    for _ in range(PARTS):
        assert assembly.add(attempt, PART) is None
    assert len(attempt.body.take()) == BODY_BYTES


STEPS = {
    "reading a request with": read_request,
    "reading a chunked request with": read_chunked_request,
    "reading a response with": read_response,
    "sending a slow back end a request with": send_to_slow_backend,
    "assembling and starting a call with": assemble_call,
    "assembling an answer with": assemble_answer,
}


@then("{step} a body of 32 MiB takes less than {most:d} MiB")
def then_takes(context, step, most):
    tracemalloc.start()
    try:
        STEPS[step]()
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak < most * MEBIBYTE, peak / MEBIBYTE
