"""Parses numbers that come from outside: their length is bounded before they are parsed."""

from __future__ import annotations

MAX_DIGITS = 9
"""Longest number accepted. Python raises an error for integers of more than 4,300 digits."""

HIGHEST_COUNT = 10**MAX_DIGITS - 1


def parse_count(text: bytes | str) -> int | None:
    """Return a whole number from 0 on in ASCII digits, ``None`` for any other text."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
