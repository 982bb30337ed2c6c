"""Encryption of a subscriber's files: the interface that its host implements."""

from __future__ import annotations

from typing import Protocol

from limelever.common.errors import Failure


class Sealer(Protocol):
    """Encrypts and authenticates bytes at rest with a key from the settings."""

    def seal(self, content: bytes) -> bytes:
        """Return ``content`` encrypted."""

    def unseal(self, sealed: bytes) -> bytes | Failure:
        """Return the content, or ``DATA_DAMAGED`` when it is not what ``seal`` wrote."""
