"""Steps for a write that is not answered in time, on the shipped application in virtual time."""

from __future__ import annotations

import base64
import math

import trio
import trio.testing
from behave import then, when
from google.rpc.status_pb2 import Status
from operator_resources import service
from operator_server import TOKEN

from limelever.protocol.config_pb2 import Batch
from limelever.protocol.operators_pb2 import ApplyRequest, ErrorDetail
from limelever.source import grpc_wire
from limelever.source.at_rest import SecretSealer
from limelever.source.operator_service import OperatorToken, operator_application

LIMIT_SECONDS = 200.0
STATUS_DETAILS = b"grpc-status-details-bin"


class Client:
    """An ASGI server's side of one gRPC call: its request once, then silence."""

    def __init__(self, deadline):
        batch = Batch(request_id="abcdefgh@1", put=[service("orders")])
        message = ApplyRequest(batch=batch).SerializeToString()
        self.body = b"\0" + len(message).to_bytes(4, "big") + message
        self.sent = []
        self.scope = {
            "type": "http",
            "method": "POST",
            "path": "/limelever.v1.Operator/Apply",
            "headers": [
                (b"content-type", grpc_wire.CONTENT_TYPE),
                (b"authorization", f"Bearer {TOKEN}".encode()),
                (b"grpc-timeout", deadline.encode()),
            ],
        }

    async def receive(self):
        if self.body is None:
            await trio.sleep_forever()
        body, self.body = self.body, None
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(self, message):
        self.sent.append(message)

    def headers(self):
        return dict(pair for message in self.sent for pair in message.get("headers", ()))


async def ask_in_vain(request):
    await trio.sleep_forever()


@when("a write with a deadline of {deadline} is not answered, in virtual time")
def when_in_virtual_time(context, deadline):
    tokens = [OperatorToken(name="writer", token=TOKEN)]
    application = operator_application(ask_in_vain, tokens, sealer=SecretSealer([b"k" * 32]))
    context.client = Client(deadline)

    async def run():
        begun = trio.current_time()
        with trio.fail_after(LIMIT_SECONDS):
            await application(context.client.scope, context.client.receive, context.client.send)
        return trio.current_time() - begun

    clock = trio.testing.MockClock(autojump_threshold=0)
    context.seconds = trio.run(run, clock=clock)


@then("it is answered as write-unknown after {seconds:g} seconds")
def then_unknown_after(context, seconds):
    packed = context.client.headers()[STATUS_DETAILS]
    status = Status.FromString(base64.b64decode(packed + b"=" * (-len(packed) % 4)))
    detail = ErrorDetail()
    assert any(found.Unpack(detail) for found in status.details), status
    assert detail.kind == "write-unknown", detail
    assert math.isclose(context.seconds, seconds), context.seconds
