"""Draws the changes that operators make: sound ones, and some that must be refused.

Every sound change differs from all earlier ones, so that each accepted one makes a version.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from limelever.protocol.config_pb2 import (
    CALL_KIND_REPEATABLE,
    RESOURCE_KIND_ROUTE,
    RESOURCE_KIND_SECRET,
    Batch,
    Resource,
    ResourceKey,
    Route,
    Secret,
    Share,
)
from limelever_lab.simulator.deployments import CALL_TIMEOUT_MS, SimulatedDeployment, route_of

SECRET_MARK = b"hidden-"
"""Every secret value begins so; it must be seen in no log event."""
FIRST_WEIGHT = 20


@dataclass(slots=True)
class ChangeMaker:
    """Draws batches; remembers the extra routes that were accepted, so as to delete them once."""

    random: random.Random
    deployment: SimulatedDeployment
    extra: list[str] = field(default_factory=list)
    _numbers: int = 0
    _known: set[str] = field(default_factory=set)

    def first(self) -> Batch:
        """Return the batch that creates everything the calls need."""
        return Batch(put=self.deployment.initial_resources())

    def draw(self) -> Batch:
        """Return a change drawn at random."""
        makers: list[Callable[[], Batch]] = [
            self._change_share,
            self._change_timeout,
            self._rotate_secret,
            self._add_route,
            self._add_route,
            self._delete_route,
            self._dangle,
            self._delete_used,
        ]
        return self.random.choice(makers)()

    def accepted(self, batch: Batch) -> None:
        """Remember the routes that an accepted batch added."""
        for resource in batch.put:
            name = resource.route.name
            if name.startswith("extra-") and name not in self._known:
                self._known.add(name)
                self.extra.append(name)

    def _change_share(self) -> Batch:
        service = self.random.choice(list(self.deployment.instances))
        group = self.random.choice(self.deployment.groups)
        self._numbers += 1
        share = Share(service=service, group=group, weight=FIRST_WEIGHT + self._numbers)
        return Batch(put=[Resource(share=share)])

    def _change_timeout(self) -> Batch:
        """Change several routes at once, so that half a batch would be noticed."""
        self._numbers += 1
        timeout = CALL_TIMEOUT_MS + self._numbers
        routes = [route_of(operation, timeout) for operation in self.deployment.operations]
        return Batch(put=[Resource(route=route) for route in routes])

    def _rotate_secret(self) -> Batch:
        names = [item.secret for item in self.deployment.operations if item.secret]
        return Batch(put=[Resource(secret=self._secret(self.random.choice(names)))])

    def _secret(self, name: str) -> Secret:
        value = SECRET_MARK + b"%d" % self.random.getrandbits(32)
        return Secret(name=name, header="x-token", value=value)

    def _add_route(self) -> Batch:
        """Add a route together with a secret that only it needs."""
        self._numbers += 1
        name = f"extra-{self._numbers}"
        service = self.random.choice(list(self.deployment.instances))
        secret = self._secret(f"{name}-secret")
        route = Route(
            name=name,
            service=service,
            path_prefix=f"/{name}",
            call_kind=CALL_KIND_REPEATABLE,
            secrets=[secret.name],
        )
        return Batch(put=[Resource(secret=secret), Resource(route=route)])

    def _delete_route(self) -> Batch:
        if not self.extra:
            return self._add_route()
        name = self.extra.pop(self.random.randrange(len(self.extra)))
        keys = [
            ResourceKey(kind=RESOURCE_KIND_ROUTE, name=name),
            ResourceKey(kind=RESOURCE_KIND_SECRET, name=f"{name}-secret"),
        ]
        return Batch(delete=keys)

    def _dangle(self) -> Batch:
        """Ask for a route to a service that does not exist."""
        route = Route(
            name="dangling",
            service="missing",
            path_prefix="/dangling",
            call_kind=CALL_KIND_REPEATABLE,
        )
        return Batch(put=[Resource(route=route)])

    def _delete_used(self) -> Batch:
        """Ask to delete a secret that a route needs."""
        names = [item.secret for item in self.deployment.operations if item.secret]
        key = ResourceKey(kind=RESOURCE_KIND_SECRET, name=self.random.choice(names))
        return Batch(delete=[key])
