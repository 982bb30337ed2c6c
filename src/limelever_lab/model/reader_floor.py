"""Specification of the version order at a reader behind relays that lag.

A version has two parts, services and routes. Relays fall behind, and restart from older snapshots;
messages cross, are doubled and arrive late. A reader syncs its floor before it installs a version.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from limelever_lab.model.specification import Model, Specification, Step, Variant, replace_at

VERSIONS = 3
RELAYS = 2


class Fault(enum.Enum):
    """Mechanisms that a broken variant switches off."""

    NO_FLOOR = "reader-without-floor"
    FLOOR_NOT_SYNCED = "floor-not-synced"
    INSTALLED_IN_PARTS = "installed-in-parts"


class Relay(NamedTuple):
    """The version a relay passes on, and that of its snapshot on disk."""

    held: int
    snapshot: int


class Reader(NamedTuple):
    """A reader's floor on disk, and the parts it holds; zero is nothing held."""

    floor: int
    services: int
    routes: int
    accepted: int


class Mesh(NamedTuple):
    """The source's newest version, relays, messages on their way, and one reader."""

    committed: int
    relays: tuple[Relay, ...]
    in_flight: frozenset[int]
    reader: Reader
    highest_held: int


def build(variant: str | None) -> Specification[Mesh]:
    """Return the specification for a variant, or the true protocol for None."""
    rules = Rules(None if variant is None else Fault(variant))
    return Specification(
        name="reader-floor",
        initial=Mesh(1, (Relay(0, 0),) * RELAYS, frozenset(), Reader(0, 0, 0, 0), 0),
        steps=rules.steps,
        invariants={
            "reader never goes back": reader_never_goes_back,
            "version held whole or not at all": version_whole,
            "only committed versions are held": only_committed,
        },
        witnesses={
            "late message meets a higher floor": late_message_meets_floor,
            "reader holds the newest version": lambda mesh: mesh.reader.routes == VERSIONS,
            "restarted reader holds nothing above its floor": (
                lambda mesh: mesh.reader.floor > 0 and mesh.reader.routes == 0
            ),
        },
    )


def reader_never_goes_back(mesh: Mesh) -> bool:
    """A reader that holds a version holds the highest it ever held, also after a restart."""
    return all(
        part in (0, mesh.highest_held) for part in (mesh.reader.services, mesh.reader.routes)
    )


def version_whole(mesh: Mesh) -> bool:
    """The services and the routes a reader holds are of the same version."""
    return mesh.reader.services == mesh.reader.routes


def only_committed(mesh: Mesh) -> bool:
    """Neither a relay nor the reader holds a version the source has not committed."""
    held = [relay.held for relay in mesh.relays]
    return max(*held, mesh.reader.services, mesh.reader.routes) <= mesh.committed


def late_message_meets_floor(mesh: Mesh) -> bool:
    """Whether an older version is on its way to a reader that holds a newer one."""
    return any(version < mesh.reader.routes for version in mesh.in_flight)


class Rules:
    """The actions of source, relays, links and reader."""

    def __init__(self, fault: Fault | None) -> None:
        self._fault = fault

    def steps(self, mesh: Mesh) -> Iterator[Step[Mesh]]:
        """Yield every enabled action."""
        if mesh.committed < VERSIONS:
            yield Step("commit", mesh._replace(committed=mesh.committed + 1))
        for index, relay in enumerate(mesh.relays):
            yield from relay_steps(mesh, index, relay)
        for version in sorted(mesh.in_flight):
            yield Step(f"lose({version})", mesh._replace(in_flight=mesh.in_flight - {version}))
            yield from self._deliver(mesh, version)
        yield from self._install(mesh)
        yield from self._restart(mesh)

    def _deliver(self, mesh: Mesh, version: int) -> Iterator[Step[Mesh]]:
        """The reader accepts a version at or above its floor; the message may come again."""
        reader = mesh.reader
        if self._fault is not Fault.NO_FLOOR and version < reader_floor(reader):
            return
        if version in (reader.accepted, reader.routes):
            return
        floor = reader.floor if self._fault is Fault.FLOOR_NOT_SYNCED else version
        accepted = reader._replace(floor=floor, accepted=version)
        yield Step(f"accept({version})", mesh._replace(reader=accepted))

    def _install(self, mesh: Mesh) -> Iterator[Step[Mesh]]:
        """The reader swaps in the version it accepted, by one assignment."""
        reader = mesh.reader
        if reader.accepted == 0:
            return
        if self._fault is Fault.INSTALLED_IN_PARTS and reader.services != reader.accepted:
            installed = reader._replace(services=reader.accepted)
        else:
            installed = Reader(reader.floor, reader.accepted, reader.accepted, 0)
        highest = max(mesh.highest_held, reader.accepted)
        yield Step(
            f"install({reader.accepted})", mesh._replace(reader=installed, highest_held=highest)
        )

    def _restart(self, mesh: Mesh) -> Iterator[Step[Mesh]]:
        """Only the floor on disk outlives the reader's process."""
        after = Reader(mesh.reader.floor, 0, 0, 0)
        if after != mesh.reader:
            yield Step("restart reader", mesh._replace(reader=after))


def reader_floor(reader: Reader) -> int:
    """Return the lowest version a reader accepts: from its disk and from what it holds."""
    return max(reader.floor, reader.accepted, reader.routes)


def relay_steps(mesh: Mesh, index: int, relay: Relay) -> Iterator[Step[Mesh]]:
    """Yield what one relay may do: fetch, write a snapshot, restart from it, send."""
    for version in range(relay.held + 1, mesh.committed + 1):
        yield Step(f"fetch({index}, {version})", with_relay(mesh, index, relay, held=version))
    if relay.snapshot != relay.held:
        yield Step(f"snapshot({index})", with_relay(mesh, index, relay, snapshot=relay.held))
        yield Step(f"restart relay({index})", with_relay(mesh, index, relay, held=relay.snapshot))
    if relay.held and relay.held not in mesh.in_flight:
        in_flight = mesh.in_flight | {relay.held}
        yield Step(f"send({index}, {relay.held})", mesh._replace(in_flight=in_flight))


def with_relay(mesh: Mesh, index: int, relay: Relay, **changes: int) -> Mesh:
    """Return the mesh with one relay changed."""
    return mesh._replace(relays=replace_at(mesh.relays, index, relay._replace(**changes)))


MODEL = Model(
    name="reader-floor",
    bounds=f"{VERSIONS} versions, {RELAYS} relays, 1 reader",
    build=build,
    variants=(
        Variant(Fault.NO_FLOOR.value, "the reader accepts any version"),
        Variant(Fault.FLOOR_NOT_SYNCED.value, "the floor is kept in memory only"),
        Variant(Fault.INSTALLED_IN_PARTS.value, "services are swapped in before routes"),
    ),
)
