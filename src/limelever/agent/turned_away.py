"""When a caller may come back whose request the back end itself turned away, unrun.

The load: a back end refuses a part of what it is sent though it has slots free, and most of its
service do so at once. Retries of the mesh are soon spent then. A caller that comes back at once is
mostly served in time; told to stay away as from a full back end, it comes too late for certain.
"""

from __future__ import annotations

AT_ONCE = 0.02
"""Seconds: of the order of a caller's way to a proxy; a caller in a closed loop stays bounded."""


def has_room(running: int, waiting: int, slots: int) -> bool:
    """Return whether a back end that turned a request away could have taken it."""
    return waiting == 0 and running < slots
