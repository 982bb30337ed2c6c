"""What the operators' commands do, apart from parsing their command line."""

from __future__ import annotations

import time
import uuid
from functools import partial

from msgspec import Struct

from limelever.cli import output
from limelever.cli.client import OperatorClient
from limelever.cli.roles import EXIT_OK, EXIT_REFUSED
from limelever.common.errors import Failure
from limelever.protocol.config_pb2 import Batch
from limelever.protocol.keys import Key
from limelever.protocol.operators_pb2 import (
    ApplyRequest,
    ApplyResponse,
    ChangeMembersRequest,
    ChangeMembersResponse,
    GetRequest,
    GetResponse,
    RolloutRequest,
    RolloutResponse,
    StatusRequest,
    StatusResponse,
)
from limelever.source.request_records import make_request_id

ROLLOUT_POLL_SECONDS = 0.5


class ApplyOptions(Struct, frozen=True):
    """How a batch is to be applied; an empty ``request_id`` has one drawn."""

    dry_run: bool = False
    expected_version: int | None = None
    request_id: str = ""
    as_json: bool = False


def apply_batch(client: OperatorClient, batch: Batch, options: ApplyOptions) -> int:
    """Apply ``batch``, print the answer and return the exit status."""
    return print_answer(send_batch(client, batch, options), batch, options)


def send_batch(
    client: OperatorClient, batch: Batch, options: ApplyOptions
) -> ApplyResponse | Failure:
    """Put expected version and request id into ``batch``, apply it and return the answer."""
    if options.expected_version is not None:
        batch.expected_version = options.expected_version
    batch.request_id = options.request_id
    if not options.request_id and not options.dry_run:
        drawn = draw_request_id(client)
        if isinstance(drawn, Failure):
            return drawn
        batch.request_id = drawn
    request = ApplyRequest(batch=batch, dry_run=options.dry_run)
    return client.call("Apply", request, ApplyResponse, is_write=not options.dry_run)


def print_answer(answer: ApplyResponse | Failure, batch: Batch, options: ApplyOptions) -> int:
    """Print the answer to a batch and return the exit status."""
    if isinstance(answer, Failure):
        return _refused(answer, batch.request_id, options.as_json)
    if options.as_json:
        output.print_json(answer)
    else:
        output.print_apply(answer, options.dry_run)
    return EXIT_OK


def draw_request_id(client: OperatorClient) -> str | Failure:
    """Return a fresh request id, whose position is the log index that a replica committed."""
    status = client.call("Status", StatusRequest(), StatusResponse)
    if isinstance(status, Failure):
        return status
    return make_request_id(uuid.uuid4().hex, status.commit_index)


def get(client: OperatorClient, keys: list[Key], as_json: bool) -> int:
    """Print the resources with ``keys`` (all when empty); refused when one does not exist."""
    request = GetRequest(keys=[key.to_message() for key in keys])
    answer = client.call("Get", request, GetResponse)
    if isinstance(answer, Failure):
        return _refused(answer, "", as_json)
    output.print_json(answer) if as_json else output.print_get(answer)
    return EXIT_REFUSED if answer.missing else EXIT_OK


def rollout(
    client: OperatorClient, version: int, wait: float | None, readers: int, as_json: bool
) -> int:
    """Print how far ``version`` has come; with ``wait`` (seconds) refused when not complete.

    A source counts connected readers alone, so those that are down would pass for done; it is
    complete only when at least ``readers`` of them hold the version.
    """
    call = partial(client.call, "Rollout", RolloutRequest(version=version), RolloutResponse)
    deadline = time.monotonic() + (wait or 0.0)
    answer = call()
    while not _is_settled(answer, readers) and time.monotonic() < deadline:
        time.sleep(min(ROLLOUT_POLL_SECONDS, max(0.0, deadline - time.monotonic())))
        answer = call()
    if isinstance(answer, Failure):
        return _refused(answer, "", as_json)
    output.print_json(answer) if as_json else output.print_rollout(answer, readers)
    return EXIT_OK if wait is None or output.is_in_force(answer, readers) else EXIT_REFUSED


def status(client: OperatorClient, as_json: bool) -> int:
    """Print the state of the replica that answers."""
    answer = client.call("Status", StatusRequest(), StatusResponse)
    if isinstance(answer, Failure):
        return _refused(answer, "", as_json)
    output.print_json(answer) if as_json else output.print_status(answer)
    return EXIT_OK


def list_members(client: OperatorClient, as_json: bool) -> int:
    """Print the members as the leader sees them, else as the replica does that answers."""
    answer = client.call("Status", StatusRequest(), StatusResponse)
    if isinstance(answer, Failure):
        return _refused(answer, "", as_json)
    if answer.role != output.LEADER_ROLE:
        told = client.ask_leader(answer)
        answer = answer if isinstance(told, Failure) else told
    output.print_json(answer) if as_json else output.print_told_members(answer)
    return EXIT_OK


def change_members(client: OperatorClient, change: ChangeMembersRequest, as_json: bool) -> int:
    """Carry out one change of the member set; draws a request id unless there is one."""
    if not change.request_id:
        drawn = draw_request_id(client)
        if isinstance(drawn, Failure):
            return _refused(drawn, "", as_json)
        change.request_id = drawn
    answer = client.call("ChangeMembers", change, ChangeMembersResponse, is_write=True)
    if isinstance(answer, Failure):
        return _refused(answer, change.request_id, as_json)
    output.print_json(answer) if as_json else output.print_members(
        answer.members, told_by_leader=True
    )
    return EXIT_OK


def _is_settled(answer: RolloutResponse | Failure, readers: int) -> bool:
    return isinstance(answer, Failure) or output.is_in_force(answer, readers)


def _refused(failure: Failure, request_id: str, as_json: bool) -> int:
    output.print_failure(failure, request_id, as_json)
    return EXIT_REFUSED
