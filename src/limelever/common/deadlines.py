"""The earliest of some times that may be unset: each event of a core asks for its next deadline."""

from __future__ import annotations


def earliest(*times: float | None) -> float | None:
    """Return the earliest time that is set, in seconds, or ``None``."""
    found: float | None = None
    for at in times:
        if at is not None and (found is None or at < found):
            found = at
    return found
