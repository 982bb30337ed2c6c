"""The operator of a fleet: the real command line, and the same RPCs from a typed client."""

from __future__ import annotations

import os
import subprocess
import sys
import time
import uuid
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from google.protobuf.message import Message

from limelever.cli.client import ClientOptions, OperatorClient
from limelever.common.errors import Failure
from limelever.protocol.config_pb2 import Batch, Resource
from limelever.protocol.operators_pb2 import (
    ApplyRequest,
    ApplyResponse,
    RolloutRequest,
    RolloutResponse,
    StatusRequest,
    StatusResponse,
)
from limelever.source.request_records import make_request_id

ResponseT = TypeVar("ResponseT", bound=Message)
CALL_LIMIT_SECONDS = 20.0
COMMAND_LIMIT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class CommandOutput:
    """Exit status and output of the operators' command line."""

    status: int
    text: str


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """A change that was accepted: its version, and when the answer came (monotonic seconds)."""

    version: int
    accepted_at: float


class Operator:
    """Talks to the source's replicas at ``endpoints`` with the token in ``token_file``."""

    def __init__(self, endpoints: tuple[str, ...], token: str, folder: Path) -> None:
        self._endpoints = endpoints
        self._token = token
        self._token_file = folder / "operator.token"
        self._token_file.write_text(token + "\n")

    def run(self, *arguments: str) -> CommandOutput:
        """Run ``limelever ARGUMENTS`` as an operator would."""
        done = subprocess.run(
            [str(Path(sys.executable).parent / "limelever"), *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=COMMAND_LIMIT_SECONDS,
            env={
                **os.environ,
                "LIMELEVER_ENDPOINTS": ",".join(self._endpoints),
                "LIMELEVER_TOKEN_FILE": str(self._token_file),
            },
        )
        return CommandOutput(done.returncode, done.stdout)

    def put(self, *resources: Resource) -> AcceptedChange | Failure:
        """Apply some resources in one batch."""
        status = self.status()
        if isinstance(status, Failure):
            return status
        request_id = make_request_id(uuid.uuid4().hex, status.commit_index)
        batch = Batch(request_id=request_id, put=resources)
        answer = self._call("Apply", ApplyRequest(batch=batch), ApplyResponse, is_write=True)
        if isinstance(answer, Failure):
            return answer
        return AcceptedChange(answer.version, time.monotonic())

    def status(self, endpoint: str = "") -> StatusResponse | Failure:
        """Return the status of a replica (the first that answers by default)."""
        return self._call("Status", StatusRequest(), StatusResponse, endpoint=endpoint)

    def rollout(self, version: int) -> RolloutResponse | Failure:
        """Return how far a version has come."""
        return self._call("Rollout", RolloutRequest(version=version), RolloutResponse)

    def _call(
        self,
        method: str,
        request: Message,
        response: type[ResponseT],
        is_write: bool = False,
        endpoint: str = "",
    ) -> ResponseT | Failure:
        endpoints = (endpoint,) if endpoint else self._endpoints
        options = ClientOptions(endpoints, self._token, CALL_LIMIT_SECONDS)
        with closing(OperatorClient(options)) as client:
            return client.call(method, request, response, is_write=is_write)
