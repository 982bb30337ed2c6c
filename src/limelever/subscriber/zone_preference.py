"""Selection of the relay that the subscribers of a zone prefer, from the list sent by relays."""

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
    """Return the relays that a message lists; invalid addresses are ignored."""
    zones = [*message.zones, *("" for _ in message.addresses)]
    pairs = zip(message.addresses, zones, strict=False)
    return tuple(ListedPublisher(parse_address(at), zone) for at, zone in pairs if is_address(at))


def preferred(listed: tuple[ListedPublisher, ...], zone: str) -> Address | None:
    """Return the relay that all subscribers of a zone prefer, ``None`` while zones aren't known.

    It is one in their zone if there is any, selected by rendezvous hashing (Thaler and
    Ravishankar, 1998): all subscribers of a zone use the same relay, and zones without a relay are
    distributed over the relays. Traffic between zones then goes to one relay, not to each node.
    """
    if not zone or not all(publisher.zone for publisher in listed):
        return None
    own = [publisher for publisher in listed if publisher.zone == zone]
    best = max(own or listed, key=lambda each: _weight(zone, each.address), default=None)
    return best.address if best is not None else None


def _weight(zone: str, address: Address) -> int:
    return zlib.crc32(f"{zone}/{address}".encode())
