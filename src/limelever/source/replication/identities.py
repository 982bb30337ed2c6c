"""Identities of replicas: a name and a random part, so that no two disks share one."""

from __future__ import annotations

from random import Random

_RANDOM_BITS = 64


def new_identity(name: str, random: Random) -> str:
    """Return an identity that no replica called ``name`` has had before."""
    return f"{name}-{random.getrandbits(_RANDOM_BITS):016x}"
