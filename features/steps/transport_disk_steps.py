"""Steps for a source in a process of its own whose disk gets full."""

from __future__ import annotations

import base64
import subprocess
import sys
import tempfile
from pathlib import Path

import grpc
from behave import given, then, when
from transport_process_steps import Ended, free_port
from transport_server import wait_for

from limelever.protocol.config_pb2 import Batch, Resource, Service
from limelever.protocol.operators_pb2 import (
    ApplyRequest,
    ApplyResponse,
    GetRequest,
    GetResponse,
    StatusRequest,
    StatusResponse,
)

PATIENCE = 30
ROLE = Path(__file__).parent / "full_disk_role.py"
TOKEN = "operator-token-of-the-test"
RPC_SECONDS = 5.0


class SourceProcess:
    """A source of one replica, with its data in ``folder``."""

    def __init__(self, folder: Path) -> None:
        self.full = folder / "disk-is-full"
        self._folder = folder
        self._settings = folder / "source.toml"
        self._port = free_port()
        key = base64.b64encode(bytes(32)).decode()
        self._settings.write_text(
            'role = "source"\n'
            'name = "source-1"\n'
            'zone = "zone-a"\n'
            f'listen = "127.0.0.1:{free_port()}"\n'
            f'operator_listen = "127.0.0.1:{self._port}"\n'
            "bootstrap = true\n"
            f'data_folder = "{folder}/data"\n'
            f'operators = [{{ name = "writer", token = "{TOKEN}" }}]\n'
            f'secrets = {{ keys = ["{key}"] }}\n'
            'credentials = { own = "source-credential-of-the-test" }\n'
        )

    def start(self) -> None:
        self._log = (self._folder / "source.log").open("w")
        command = [sys.executable, ROLE, self.full, "source", "--settings", self._settings]
        self.process = subprocess.Popen([str(word) for word in command], stderr=self._log)
        assert wait_for(self._leads, PATIENCE), self._lines()

    def wait_ended(self) -> Ended:
        status = self.process.wait(PATIENCE)
        self._log.close()
        return Ended(status, self._lines())

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
        self._log.close()

    def call(self, method, request, response_class):
        with grpc.insecure_channel(f"127.0.0.1:{self._port}") as channel:
            rpc = channel.unary_unary(
                f"/limelever.v1.Operator/{method}",
                request_serializer=type(request).SerializeToString,
                response_deserializer=response_class.FromString,
            )
            metadata = [("authorization", f"Bearer {TOKEN}")]
            return rpc(request, timeout=RPC_SECONDS, metadata=metadata)

    def apply(self, name) -> ApplyResponse:
        batch = Batch(request_id=f"{name}-request@1", put=[Resource(service=Service(name=name))])
        return self.call("Apply", ApplyRequest(batch=batch), ApplyResponse)

    def services(self) -> tuple[int, list[str]]:
        """Return the version and the names of all services."""
        answer = self.call("Get", GetRequest(), GetResponse)
        return answer.version, [item.resource.service.name for item in answer.resources]

    def _leads(self) -> bool:
        try:
            return bool(self.call("Status", StatusRequest(), StatusResponse).leader)
        except grpc.RpcError:
            return False

    def _lines(self) -> list[str]:
        return (self._folder / "source.log").read_text().splitlines()


@given("a source of one replica in a process of its own")
def given_source_process(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.source_process = SourceProcess(Path(folder.name))
    context.source_process.start()
    context.add_cleanup(context.source_process.end)


@when("an operator gives that source {count:d} services, one after the other")
def when_services(context, count):
    context.names = [f"service-{number}" for number in range(count)]
    answers = [context.source_process.apply(name) for name in context.names]
    context.version = answers[-1].version


@when("that source's disk is full")
def when_full(context):
    context.source_process.full.touch()


@when("an operator gives that source one more service")
def when_one_more(context):
    try:
        context.answer = context.source_process.apply("one-more")
    except grpc.RpcError as error:
        context.answer = error


@then("that operator is told that the outcome is unknown")
def then_unknown(context):
    assert isinstance(context.answer, grpc.RpcError), context.answer
    code = context.answer.code()
    assert code in (grpc.StatusCode.UNKNOWN, grpc.StatusCode.UNAVAILABLE), context.answer
    context.ended = context.source_process.wait_ended()


@then("that process logs 1020 as {kind}")
def then_disk_failed(context, kind):
    (event,) = context.ended.events(1020)
    assert event["fields"]["kind"] == kind, event


@when("that source's disk has room again and it is started again")
def when_room_again(context):
    context.source_process.full.unlink()
    context.source_process.start()


@then("that source has the 3 services, in the version that was answered or a later one")
def then_has_services(context):
    version, names = context.source_process.services()
    assert version >= context.version, (version, context.version)
    assert set(context.names) <= set(names), names


@when("that operator sends the one more service again")
def when_resent(context):
    context.source_process.apply("one-more")


@then("that source has it once")
def then_once(context):
    _, names = context.source_process.services()
    assert sorted(names) == sorted([*context.names, "one-more"]), names
