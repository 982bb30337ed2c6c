"""Converts departed runs to and from messages."""

from __future__ import annotations

from collections.abc import Iterable

from limelever.common.departed_runs import DepartedRun
from limelever.protocol import endpoints_pb2
from limelever.protocol.endpoints_pb2 import RunsDeparted, RunsDepartedStored


def departures_of(message: RunsDeparted | RunsDepartedStored) -> list[DepartedRun]:
    """Return the runs that a message names."""
    return [DepartedRun(run.instance, run.started_ms) for run in message.runs]


def departures_message(runs: Iterable[DepartedRun]) -> RunsDeparted:
    """Return the message that these runs have left."""
    return RunsDeparted(runs=map(_message_of, runs))


def stored_message(runs: Iterable[DepartedRun]) -> RunsDepartedStored:
    """Return the message that these runs are stored."""
    return RunsDepartedStored(runs=map(_message_of, runs))


def _message_of(run: DepartedRun) -> endpoints_pb2.DepartedRun:
    return endpoints_pb2.DepartedRun(instance=run.instance, started_ms=run.started_at_ms)
