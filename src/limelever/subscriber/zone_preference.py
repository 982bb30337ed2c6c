"""Which relay a subscriber of a zone prefers, from the list that relays tell."""

from __future__ import annotations

import zlib

from msgspec import Struct

from limelever.common.sansio import Address
from limelever.common.settings import is_address, parse_address
from limelever.protocol.distribution_pb2 import Publishers


class ListedPublisher(Struct, frozen=True):
    """A relay, and its zone where that is known."""

    address: Address
    zone: str = ""


def listed_in(message: Publishers) -> tuple[ListedPublisher, ...]:
    """Return the relays that a message lists; what is no address is passed over."""
    zones = [*message.zones, *("" for _ in message.addresses)]
    pairs = zip(message.addresses, zones, strict=False)
    return tuple(ListedPublisher(parse_address(at), zone) for at, zone in pairs if is_address(at))


def preferred(listed: tuple[ListedPublisher, ...], zone: str) -> Address | None:
    """Return the relay that all subscribers of a zone prefer, ``None`` while zones aren't known.

    One in their zone, or else the one with the highest hash with it (rendezvous hashing: Thaler
    and Ravishankar, 1998), so that they all meet at one relay and the zones without one spread.
    What crosses zones then goes to a relay once, not to each node.
    """
    if not zone or not all(publisher.zone for publisher in listed):
        return None
    own = [publisher for publisher in listed if publisher.zone == zone]
    best = max(own or listed, key=lambda each: _weight(zone, each.address), default=None)
    return best.address if best is not None else None


def _weight(zone: str, address: Address) -> int:
    return zlib.crc32(f"{zone}/{address}".encode())
