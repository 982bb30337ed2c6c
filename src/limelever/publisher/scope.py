"""Scopes: which part of the configuration a subscriber gets, and the closure of its needs."""

from __future__ import annotations

from dataclasses import dataclass

from limelever.protocol.distribution_pb2 import Subscribe


@dataclass(frozen=True, slots=True)
class Scope:
    """The services a subscriber named, or everything; subscribers of one scope share a view."""

    services: frozenset[str] = frozenset()
    everything: bool = False

    @classmethod
    def of(cls, subscribe: Subscribe) -> Scope:
        """Return the scope that a ``Subscribe`` asks for."""
        if subscribe.everything:
            return cls(everything=True)
        return cls(frozenset(subscribe.services))
