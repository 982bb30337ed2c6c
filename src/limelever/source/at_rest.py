"""Seals secret values, so that no log, snapshot or memory dump of a replica holds them open.

A value is sealed at the leader's door, before its batch enters the log, and opened only when it
leaves a source towards a relay. Sealing is AES-256-SIV (RFC 5297), which is deterministic: the
same value under the same name and key gives the same bytes. So a resend of a request has the
fingerprint of the first sending, and applying an unchanged secret is no change. AES-GCM was
ruled out because it needs a fresh nonce for each sealing, which would break both.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
from collections.abc import Sequence

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.ciphers.aead import AESSIV
from cryptography.hazmat.primitives.kdf.hkdf import HKDF
from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import Batch, Resource, VersionedResource
from limelever.protocol.keys import Key

KEY_BYTES = 32
_FORMAT = b"\x01"
_KEY_ID_BYTES = 4
_HEADER_BYTES = len(_FORMAT) + _KEY_ID_BYTES
_TAG_BYTES = 16
_DERIVED_BYTES = 64
_CONTEXT = b"limelever secret at rest"

SEALING_OVERHEAD_BYTES = _HEADER_BYTES + _TAG_BYTES


class _SealingKey(Struct, frozen=True):
    identifier: bytes
    cipher: AESSIV


class SecretSealer:
    """Seals with the first key and opens with any, so that keys can be replaced one by one."""

    def __init__(self, keys: Sequence[bytes]) -> None:
        """Take keys of ``KEY_BYTES`` bytes, the sealing one first; raise ``ValueError`` else."""
        if not keys or any(len(key) != KEY_BYTES for key in keys):
            raise ValueError(f"needs one key or more of {KEY_BYTES} bytes")
        self._keys = tuple(_derive(key) for key in keys)

    @classmethod
    def without_keys(cls) -> SecretSealer:
        """Return a sealer for a group that keeps no secrets: it seals and opens none."""
        sealer = cls.__new__(cls)
        sealer._keys = ()
        return sealer

    @property
    def can_seal(self) -> bool:
        """Return whether there is a key to seal with."""
        return bool(self._keys)

    @classmethod
    def from_texts(cls, texts: Sequence[str]) -> SecretSealer | Failure:
        """Return a sealer for base64 keys, or ``INVALID_SETTINGS`` without naming the key."""
        try:
            return cls([base64.b64decode(text, validate=True) for text in texts])
        except (binascii.Error, ValueError):
            reason = f"secrets at rest need base64 keys of {KEY_BYTES} bytes each"
            return Failure(ErrorKind.INVALID_SETTINGS, reason)

    def seal(self, name: str, value: bytes) -> bytes:
        """Return ``value`` sealed for the secret ``name``; it opens under that name only."""
        key = self._keys[0]
        return _FORMAT + key.identifier + key.cipher.encrypt(value, [_CONTEXT, name.encode()])

    def open(self, name: str, sealed: bytes) -> bytes | Failure:
        """Return the value within ``sealed``, or ``DATA_DAMAGED``."""
        identifier = sealed[len(_FORMAT) : _HEADER_BYTES]
        if not sealed.startswith(_FORMAT) or len(sealed) < SEALING_OVERHEAD_BYTES:
            return _damaged(name, "is not in sealed form")
        for key in self._keys:
            if key.identifier == identifier:
                return _open_with(key, name, sealed[_HEADER_BYTES:])
        return _damaged(name, "was sealed with a key that the settings do not hold")

    def seal_resource(self, resource: Resource) -> Resource:
        """Return ``resource``, as a copy with a sealed value when it is a secret."""
        if resource.WhichOneof("body") != "secret":
            return resource
        sealed = Resource()
        sealed.CopyFrom(resource)
        sealed.secret.value = self.seal(resource.secret.name, resource.secret.value)
        return sealed

    def seal_versioned(self, versioned: VersionedResource) -> VersionedResource:
        """Return ``versioned``, as a copy with a sealed value when it is a secret."""
        if versioned.resource.WhichOneof("body") != "secret":
            return versioned
        return VersionedResource(
            resource=self.seal_resource(versioned.resource), version=versioned.version
        )

    def open_versioned(self, versioned: VersionedResource) -> VersionedResource | Failure:
        """Return ``versioned``, as a copy with its value opened when it is a secret."""
        if versioned.resource.WhichOneof("body") != "secret":
            return versioned
        secret = versioned.resource.secret
        value = self.open(secret.name, secret.value)
        if isinstance(value, Failure):
            return value
        opened = VersionedResource()
        opened.CopyFrom(versioned)
        opened.resource.secret.value = value
        return opened

    def seal_batch(self, batch: Batch) -> Batch:
        """Return a copy of ``batch`` in which every secret's value is sealed."""
        sealed = Batch()
        sealed.CopyFrom(batch)
        for resource in sealed.put:
            if resource.WhichOneof("body") == "secret":
                resource.secret.value = self.seal(resource.secret.name, resource.secret.value)
        return sealed


def _derive(key: bytes) -> _SealingKey:
    derived = HKDF(hashes.SHA256(), _DERIVED_BYTES, salt=None, info=_CONTEXT).derive(key)
    identifier = hashlib.blake2b(derived, digest_size=_KEY_ID_BYTES).digest()
    return _SealingKey(identifier, AESSIV(derived))


def _open_with(key: _SealingKey, name: str, ciphertext: bytes) -> bytes | Failure:
    try:
        return key.cipher.decrypt(ciphertext, [_CONTEXT, name.encode()])
    except InvalidTag:
        return _damaged(name, "does not open: damaged, or sealed under another name")


def _damaged(name: str, what: str) -> Failure:
    secret = Resource()
    secret.secret.name = name
    return Failure(ErrorKind.DATA_DAMAGED, f"secret value {what}", (str(Key.of(secret)),))
