"""The operator of a fleet: the real command line, and the same RPCs from a typed client."""

from __future__ import annotations

import os
import subprocess
import sys
import time
import uuid
from collections.abc import Callable, Mapping
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from google.protobuf.message import Message

from limelever.cli.client import ClientOptions, OperatorClient
from limelever.common.errors import Failure
from limelever.common.sansio import Address
from limelever.protocol.config_pb2 import Batch, Resource
from limelever.protocol.operators_pb2 import (
    ApplyRequest,
    ApplyResponse,
    GetRequest,
    GetResponse,
    RolloutRequest,
    RolloutResponse,
    StatusRequest,
    StatusResponse,
)
from limelever.source.request_records import make_request_id

ResponseT = TypeVar("ResponseT", bound=Message)
CALL_LIMIT_SECONDS = 20.0
UNHEARD_LIMIT_SECONDS = 3.0
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
    """Talks to the source's replicas, whose ``endpoints`` are keyed by their names.

    The replica that answered last is asked first, so that a silent one costs one wait only.
    """

    def __init__(self, endpoints: Mapping[str, Address], token: str, folder: Path) -> None:
        self._by_name = endpoints
        self._endpoints = tuple(endpoints.values())
        self._token = token
        self._token_file = folder / "operator.token"
        self._token_file.write_text(token + "\n")

    def endpoint_of(self, name: str) -> Address:
        """Return where operators reach a replica."""
        return self._by_name[name]

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
                "LIMELEVER_ENDPOINTS": ",".join(map(str, self._endpoints)),
                "LIMELEVER_TOKEN_FILE": str(self._token_file),
            },
        )
        return CommandOutput(done.returncode, done.stdout)

    def put(self, *resources: Resource) -> AcceptedChange | Failure:
        """Apply some resources in one batch."""
        batch = self.draw_batch(*resources)
        answer = batch if isinstance(batch, Failure) else self.apply(batch)
        if isinstance(answer, Failure):
            return answer
        return AcceptedChange(answer.version, time.monotonic())

    def draw_batch(self, *resources: Resource) -> Batch | Failure:
        """Return a batch under a fresh request id; sent twice, it runs once."""
        status = self.status()
        if isinstance(status, Failure):
            return status
        request_id = make_request_id(uuid.uuid4().hex, status.commit_index)
        return Batch(request_id=request_id, put=resources)

    def apply(self, batch: Batch) -> ApplyResponse | Failure:
        """Send a batch until its fate is known."""
        return self._call("Apply", ApplyRequest(batch=batch), ApplyResponse, is_write=True)

    def apply_unheard(
        self, batch: Batch, endpoint: Address, before_sending: Callable[[], None]
    ) -> ApplyResponse | Failure:
        """Send a batch to one replica over a connection that stands before ``before_sending``."""
        options = ClientOptions((endpoint,), self._token, UNHEARD_LIMIT_SECONDS)
        with closing(OperatorClient(options)) as client:
            client.call("Status", StatusRequest(), StatusResponse)
            before_sending()
            return client.call("Apply", ApplyRequest(batch=batch), ApplyResponse, is_write=True)

    def status(self, endpoint: Address | None = None) -> StatusResponse | Failure:
        """Return the status of a replica (the first that answers by default)."""
        answer = self._call("Status", StatusRequest(), StatusResponse, endpoint=endpoint)
        if not isinstance(answer, Failure):
            first = self._by_name[answer.name]
            self._endpoints = (first, *(other for other in self._endpoints if other != first))
        return answer

    def get(self) -> GetResponse | Failure:
        """Return all resources, as the source holds them."""
        return self._call("Get", GetRequest(), GetResponse)

    def rollout(self, version: int) -> RolloutResponse | Failure:
        """Return how far a version has come."""
        return self._call("Rollout", RolloutRequest(version=version), RolloutResponse)

    def _call(
        self,
        method: str,
        request: Message,
        response: type[ResponseT],
        is_write: bool = False,
        endpoint: Address | None = None,
    ) -> ResponseT | Failure:
        endpoints = (endpoint,) if endpoint else self._endpoints
        options = ClientOptions(endpoints, self._token, CALL_LIMIT_SECONDS)
        with closing(OperatorClient(options)) as client:
            return client.call(method, request, response, is_write=is_write)
