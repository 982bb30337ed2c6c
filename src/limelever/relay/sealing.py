"""Encryption of the relay's snapshot on disk: AES-256-SIV with keys from the settings.

SIV needs no random nonce, which a deterministic core cannot generate. Equal snapshots therefore
encrypt to equal bytes, which reveals no more than the file's modification time.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Sequence

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.ciphers.aead import AESSIV
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

from limelever.common.errors import ErrorKind, Failure

KEY_BYTES = 32
_DERIVED_KEY_BYTES = 64
_CONTEXT = b"limelever relay snapshot"


class SnapshotSealer:
    """Encrypts with the first key and decrypts with any, so that keys can be rotated."""

    def __init__(self, keys: Sequence[bytes]) -> None:
        """Create a sealer from keys of ``KEY_BYTES`` bytes; the first one encrypts."""
        self._ciphers = [AESSIV(_derive(key)) for key in keys]

    @classmethod
    def from_texts(cls, texts: Sequence[str]) -> SnapshotSealer | Failure:
        """Return a sealer for base64 keys, or ``INVALID_SETTINGS`` without showing the key."""
        try:
            keys = [base64.b64decode(text, validate=True) for text in texts]
        except (binascii.Error, ValueError):
            keys = []
        if not keys or any(len(key) != KEY_BYTES for key in keys):
            reason = f"snapshot_keys must be base64 of {KEY_BYTES} bytes each"
            return Failure(ErrorKind.INVALID_SETTINGS, reason)
        return cls(keys)

    def seal(self, content: bytes) -> bytes:
        """Return ``content`` encrypted and authenticated."""
        return self._ciphers[0].encrypt(content, [_CONTEXT])

    def unseal(self, sealed: bytes) -> bytes | Failure:
        """Return the decrypted content, or ``DATA_DAMAGED`` if no key decrypts it."""
        for cipher in self._ciphers:
            try:
                return cipher.decrypt(sealed, [_CONTEXT])
            except (InvalidTag, ValueError):
                continue
        return Failure(
            ErrorKind.DATA_DAMAGED, "snapshot cannot be decrypted with any of the snapshot keys"
        )


def _derive(key: bytes) -> bytes:
    return HKDF(hashes.SHA256(), _DERIVED_KEY_BYTES, salt=None, info=_CONTEXT).derive(key)
