"""Metrics of the agent."""

from __future__ import annotations

from limelever.agent.interface import CallsLimited, InstanceLimitChanged
from limelever.common.sansio import Output
from limelever.transport.instruments import Counter, Gauge

INSTANCE_CONNECTIONS_LOST = Counter(
    "limelever_instance_connections_lost",
    "Connections to the instance that were closed because it no longer responded on them.",
)
LIMITED_CALLS = Counter(
    "limelever_agent_limited_calls",
    "Calls that the limit of a warming back end has delayed or refused",
    ("effect",),
)
INSTANCE_LIMITED_CALLS = Counter(
    "limelever_agent_instance_limited_calls",
    "Calls that the limit stated by the instance has delayed or refused",
    ("effect",),
)
INSTANCE_LIMIT = Gauge(
    "limelever_agent_instance_limit",
    "Calls a second that the instance takes by its own statement; 0 without a limit.",
)
_DELAYED, _REFUSED = "delayed", "refused"


def record(output: Output) -> bool:
    """Update the metrics by an output of the agent core; return whether it is only for them."""
    match output:
        case CallsLimited(delayed, refused, by_statement):
            counter = INSTANCE_LIMITED_CALLS if by_statement else LIMITED_CALLS
            counter.labels(_DELAYED).inc(delayed)
            counter.labels(_REFUSED).inc(refused)
        case InstanceLimitChanged(calls_per_s):
            INSTANCE_LIMIT.only.set(calls_per_s)
        case _:
            return False
    return True
