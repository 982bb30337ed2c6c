"""Sealing of what a subscriber keeps on disk: the interface its host injects."""

from __future__ import annotations

from typing import Protocol

from limelever.common.errors import Failure


class Sealer(Protocol):
    """Encrypts and authenticates bytes at rest with a key from the settings."""

    def seal(self, content: bytes) -> bytes:
        """Return ``content`` encrypted."""

    def unseal(self, sealed: bytes) -> bytes | Failure:
        """Return the content, or ``DATA_DAMAGED`` when it is not what ``seal`` wrote."""
