"""Checks whether a report is about the instance beside a node, and whether it can be served."""

from __future__ import annotations

from collections.abc import Mapping

from limelever.common.errors import ErrorKind, Failure
from limelever.node.reports import InstanceReport
from limelever.node.settings import NodeSettings
from limelever.protocol.config_pb2 import Service


def report_refusal(
    report: InstanceReport,
    settings: NodeSettings,
    services: Mapping[str, Service] | None,
    *,
    is_active: bool,
) -> Failure | None:
    """Return why a report is refused, or ``None``.

    ``services`` are those of the configuration by name, ``None`` without one: any service is
    accepted then, as it may be configured. The active instance is always heard, so that it can
    drain after its service was removed.
    """
    own_address = settings.backend.address
    if report.address not in (None, own_address):
        return Failure(
            ErrorKind.INVALID_REQUEST,
            f"the address is not that of the instance beside this node, {own_address}",
        )
    if is_active or services is None or report.service in {settings.service, *services}:
        return None
    return Failure(
        ErrorKind.INVALID_REQUEST, "the service is neither configured nor this node's own"
    )
