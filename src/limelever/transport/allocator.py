"""Settings of the C library's memory allocator."""

from __future__ import annotations

import ctypes

LARGE_BLOCK_BYTES = 256 * 1024
"""Blocks from this size on go back to the system when they are freed."""

_M_MMAP_THRESHOLD = -3
"""Parameter of glibc's ``mallopt``."""


def return_large_blocks() -> None:
    """Let the allocator return the memory of released bodies to the system.

    glibc raises its threshold to the size of the largest block that was freed, up to 32 MiB, and
    keeps twice as much. Other C libraries have no such setting.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
