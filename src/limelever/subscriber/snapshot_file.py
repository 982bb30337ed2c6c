"""The snapshot file from which a relay starts: its whole set, encrypted as it has secrets."""

from __future__ import annotations

from google.protobuf.message import DecodeError

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.distribution_pb2 import ConfigSnapshot
from limelever.subscriber.held import HeldSet, from_snapshot, to_snapshot
from limelever.subscriber.sealing import Sealer

SNAPSHOT_FILE = "snapshot"


def encode_snapshot(held: HeldSet, sealer: Sealer) -> bytes:
    """Return the content of the snapshot file."""
    return sealer.seal(to_snapshot(held).SerializeToString())


def decode_snapshot(content: bytes, sealer: Sealer) -> HeldSet | Failure:
    """Return the set in the snapshot file, or the reason why it is unusable."""
    plain = sealer.unseal(content)
    if isinstance(plain, Failure):
        return plain
    try:
        return from_snapshot(ConfigSnapshot.FromString(plain))
    except DecodeError as error:
        return Failure(ErrorKind.DATA_DAMAGED, f"snapshot does not parse: {error}")
