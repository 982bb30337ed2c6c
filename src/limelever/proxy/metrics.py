"""Metrics of the proxy's calls."""

from __future__ import annotations

from prometheus_client import Counter

from limelever.common.errors import Failure
from limelever.proxy.call_types import CallAnswer
from limelever.transport.metrics import REGISTRY

ANSWERED = "answered"

CALLS = Counter(
    "limelever_proxy_calls",
    "Calls by how they ended: answered, or the kind of the failure",
    ("kind",),
    registry=REGISTRY,
)
_ANSWERED_CALLS = CALLS.labels(ANSWERED)


def count_answer(answer: CallAnswer | Failure) -> None:
    """Count the end of one call."""
    if isinstance(answer, Failure):
        CALLS.labels(answer.kind.value).inc()
    else:
        _ANSWERED_CALLS.inc()
