"""Starts the full-push baseline beside a fleet: a process a zone, as there are relays."""

from __future__ import annotations

from limelever.common.sansio import Address
from limelever_lab.bench.testbed import Testbed
from limelever_lab.fleet.layout import RelayLayout, loopback
from limelever_lab.fleet.member import Member
from limelever_lab.fleet.ports import free_ports
from limelever_lab.fleet.processes import LabProcess
from limelever_lab.fleet.toml_writer import write_settings


class BaselineFleet:
    """The baseline's publishers; a context manager that kills them."""

    def __init__(self, testbed: Testbed) -> None:
        self._testbed = testbed
        self.members: list[Member] = []
        self.addresses: dict[str, tuple[Address, ...]] = {}

    def __enter__(self) -> BaselineFleet:
        """Start a publisher for each zone and wait until all are ready."""
        direct = tuple(source.link_port for source in self._testbed.fleet.layout.sources)
        for place in self._testbed.fleet.layout.relays:
            link_port, admin_port = free_ports(2)
            name = f"full-push-{place.zone}"
            self._start(RelayLayout(name, place.zone, link_port, admin_port, direct))
        for member in self.members:
            member.wait_ready()
        return self

    def __exit__(self, *_: object) -> None:
        """Kill every publisher that still runs."""
        for member in self.members:
            member.process.end()

    def _start(self, place: RelayLayout) -> None:
        path = self._testbed.folder / f"{place.name}.toml"
        write_settings(path, self._testbed.builder.relay(place))
        command = ("python", "-m", "limelever_lab.bench.full_push_process", str(path))
        process = LabProcess(place.name, command, self._testbed.folder)
        data = self._testbed.builder.data_folder(place.name)
        self.members.append(Member(process, place.zone, place.admin_port, data))
        self.addresses[place.zone] = (loopback(place.link_port),)
        process.start()
