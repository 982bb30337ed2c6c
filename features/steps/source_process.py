"""A source of one replica in a process of its own, and an operator that calls it."""

from __future__ import annotations

import base64
import subprocess
import sys
import time
from pathlib import Path

import grpc
from transport_process_steps import Ended, free_port
from transport_server import wait_for

from limelever.common.settings import TlsSettings
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
RELAY_CREDENTIAL = "relay-credential-of-the-test"
RPC_SECONDS = 5.0


def tls_lines(tls: TlsSettings | None) -> str:
    """Return the lines of a settings file for ``tls``."""
    if tls is None:
        return ""
    return (
        f'tls = {{ certificate = "{tls.certificate}", key = "{tls.key}", '
        f'authority = "{tls.authority}" }}\n'
    )


class SourceProcess:
    """A source of one replica, with its data in ``folder``.

    ``tls`` encrypts links and operators' calls; its authority is what the operator trusts.
    """

    def __init__(self, folder: Path, tls: TlsSettings | None = None) -> None:
        self.full = folder / "disk-is-full"
        self.link_port = free_port()
        self._tls = tls
        self._folder = folder
        self._settings = folder / "source.toml"
        self._port = free_port()
        key = base64.b64encode(bytes(32)).decode()
        self._settings.write_text(
            'role = "source"\n'
            'name = "source-1"\n'
            'zone = "zone-a"\n'
            f'listen = "127.0.0.1:{self.link_port}"\n'
            f'operator_listen = "127.0.0.1:{self._port}"\n'
            "bootstrap = true\n"
            f'data_folder = "{folder}/data"\n'
            f'operators = [{{ name = "writer", token = "{TOKEN}" }}]\n'
            f'secrets = {{ keys = ["{key}"] }}\n'
            'credentials = { own = "source-credential", accepted = ['
            f'{{ role = "relay", credential = "{RELAY_CREDENTIAL}" }}] }}\n' + tls_lines(tls)
        )

    def start(self) -> None:
        self._log = (self._folder / "source.log").open("w")
        command = [sys.executable, ROLE, self.full, "source", "--settings", self._settings]
        self.process = subprocess.Popen(
            [str(word) for word in command], stdout=self._log, stderr=self._log
        )
        assert wait_for(self._leads, PATIENCE), self._lines()

    def wait_ended(self) -> Ended:
        status = self.process.wait(PATIENCE)
        self._log.close()
        return Ended(status, self._lines())

    def logged(self, code: int) -> bool:
        """Return whether the running process has written an event."""
        self._log.flush()
        return any(f'"code": {code},' in line for line in self._lines())

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
        self._log.close()

    def call(self, method, request, response_class):
        with self._channel() as channel:
            rpc = channel.unary_unary(
                f"/limelever.v1.Operator/{method}",
                request_serializer=type(request).SerializeToString,
                response_deserializer=response_class.FromString,
            )
            metadata = [("authorization", f"Bearer {TOKEN}")]
            return rpc(request, timeout=RPC_SECONDS, metadata=metadata)

    def apply(self, name) -> ApplyResponse:
        return self.call("Apply", self._request(name), ApplyResponse)

    def call_until_answered(self, method, request, response_class):
        """Call again while the source says that it can't answer now, as operators do.

        A leader that could not write for a while has stepped down and has to be elected again.
        """
        deadline = time.monotonic() + PATIENCE
        while True:
            try:
                return self.call(method, request, response_class)
            except grpc.RpcError as error:
                if error.code() != grpc.StatusCode.UNAVAILABLE or time.monotonic() > deadline:
                    raise
            time.sleep(0.05)

    def apply_again(self, name) -> ApplyResponse:
        """Send a change whose outcome is unknown once more, until it is answered."""
        return self.call_until_answered("Apply", self._request(name), ApplyResponse)

    def services(self) -> tuple[int, list[str]]:
        """Return the version and the names of all services."""
        answer = self.call_until_answered("Get", GetRequest(), GetResponse)
        return answer.version, [item.resource.service.name for item in answer.resources]

    def _request(self, name) -> ApplyRequest:
        put = [Resource(service=Service(name=name))]
        return ApplyRequest(batch=Batch(request_id=f"{name}-request@1", put=put))

    def _channel(self) -> grpc.Channel:
        address = f"127.0.0.1:{self._port}"
        if self._tls is None:
            return grpc.insecure_channel(address)
        authority = Path(self._tls.authority).read_bytes()
        return grpc.secure_channel(address, grpc.ssl_channel_credentials(authority))

    def _leads(self) -> bool:
        try:
            return bool(self.call("Status", StatusRequest(), StatusResponse).leader)
        except grpc.RpcError:
            return False

    def _lines(self) -> list[str]:
        return (self._folder / "source.log").read_text().splitlines()
