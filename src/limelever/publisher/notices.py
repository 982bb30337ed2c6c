"""Outputs of the publisher that are meant for the core around it, not for the shell."""

from __future__ import annotations

from limelever.common.sansio import ConnectionId, Output


class SubscriberAdmitted(Output, frozen=True):
    """A subscriber was answered: from now on it has a scope."""

    connection: ConnectionId


class FreshnessNeeded(Output, frozen=True):
    """The host shall prove the publisher's configuration current.

    The proof must begin after this output: the source asks for a read index and waits until it
    has applied it, a relay probes its own publisher. When it succeeds the host calls
    ``PublisherCore.proved_fresh(began, now)`` with ``began`` (seconds, monotonic) as given
    here; when it fails the host does nothing, and the publisher asks again after a while.
    """

    token: int
    began: float
