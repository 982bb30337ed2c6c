"""Finds out by health requests which instance holds the address beside a node."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import trio

from limelever.agent.backend_client import BackendClient
from limelever.agent.health_response import InstanceIdentity
from limelever.node.settings import NodeSettings

IDENTIFY_TIMEOUT_SECONDS = 0.3
"""Timeout of a probe that identifies the instance; the back end may queue it behind calls."""

IDENTIFY_INTERVAL_SECONDS = 0.1
"""Pause between two such probes; the instance's own report follows within two seconds."""


class InstanceIdentifier:
    """Probes the back end of a node for the identifier of its instance."""

    def __init__(self, settings: NodeSettings, nursery: trio.Nursery) -> None:
        self._settings = settings
        self._nursery = nursery

    async def find(self, paths: Iterable[str]) -> InstanceIdentity | None:
        """Return the instance that responds on one of these health paths, ``None`` if none does."""
        found: InstanceIdentity | None = None
        backend = self._client()
        for path in paths:
            found = found or await backend.find_instance(path, IDENTIFY_TIMEOUT_SECONDS)
        backend.close()
        return found

    async def find_while(self, path: str, wanted: Callable[[], bool]) -> InstanceIdentity | None:
        """Probe ``path`` until an instance responds; ``None`` once it is not wanted any more."""
        backend = self._client()
        found: InstanceIdentity | None = None
        while found is None and wanted():
            found = await backend.find_instance(path, IDENTIFY_TIMEOUT_SECONDS)
            if found is None:
                await trio.sleep(IDENTIFY_INTERVAL_SECONDS)
        backend.close()
        return found if wanted() else None

    def _client(self) -> BackendClient:
        names = self._settings.headers.names()
        return BackendClient(self._settings.backend, self._nursery, lambda _: None, names)
