"""Outputs of the publisher for the core that contains it; the shell never gets them."""

from __future__ import annotations

from limelever.common.sansio import ConnectionId, Output


class SubscriberAdmitted(Output, frozen=True):
    """A subscriber was admitted, and has a scope from now on."""

    connection: ConnectionId


class FreshnessNeeded(Output, frozen=True):
    """Asks the host to prove that the publisher's configuration is current.

    The proof must begin after this output: the source requests a read index and waits until it
    has applied it, a relay probes its own publisher. On success the host calls
    ``PublisherCore.proved_fresh(began, now)`` with ``began`` (seconds, monotonic) as given here.
    On failure it does nothing: the publisher asks again after ``proof_timeout`` while probes wait.
    """

    token: int
    began: float
