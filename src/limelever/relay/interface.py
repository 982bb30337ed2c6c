"""What passes between the relay's core and its shell beyond the common contract."""

from __future__ import annotations

from limelever.common.sansio import Address, Event, Output
from limelever.protocol.endpoints_pb2 import MachineNotice


class PlatformListRead(Event, frozen=True):
    """The platform's list of machines was read: those leaving or dead, and no others."""

    notices: tuple[MachineNotice, ...]


class RelaysKnown(Event, frozen=True):
    """The addresses of all relays, this one's own included, as they are known now."""

    addresses: tuple[Address, ...]


class StopRequested(Event, frozen=True):
    """A planned stop: subscribers and agents are told to move at once."""


class RelayReady(Output, frozen=True):
    """The relay holds a configuration and serves subscribers."""
