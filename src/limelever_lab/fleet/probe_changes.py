"""The changes of configuration that probes make, and what the source holds of them."""

from __future__ import annotations

from limelever.common.errors import Failure
from limelever.protocol.config_pb2 import Batch, Resource, Share, VersionedResource
from limelever.protocol.keys import Key, share_key
from limelever_lab.fleet.deployment import CallClass
from limelever_lab.fleet.operator import Operator

FIRST_WEIGHT = 100


class ProbeChanges:
    """Gives the share of one class of calls a higher weight at each change."""

    def __init__(self, operator: Operator, call_class: CallClass) -> None:
        self.last_weight = FIRST_WEIGHT
        self._operator = operator
        self._service = call_class.service
        self._group = call_class.group

    def apply(self) -> int:
        """Apply a change and return its version; raises ``RuntimeError`` when it is refused."""
        accepted = self._operator.put(self._next())
        if isinstance(accepted, Failure):
            raise RuntimeError(f"change was refused: {accepted}")
        return accepted.version

    def draw(self) -> Batch:
        """Return a change that was not sent yet, under its own request id."""
        batch = self._operator.draw_batch(self._next())
        if isinstance(batch, Failure):
            raise RuntimeError(f"no batch was drawn: {batch}")
        return batch

    def held_weight(self) -> int:
        """Return the weight that the source holds."""
        return self._held().resource.share.weight

    def held_version(self) -> int:
        """Return the version that last changed the share, as the source holds it."""
        return self._held().version

    def _held(self) -> VersionedResource:
        answer = self._operator.get()
        if isinstance(answer, Failure):
            raise RuntimeError(f"the source does not answer: {answer}")
        wanted = share_key(self._service, self._group)
        return next(item for item in answer.resources if Key.of(item.resource) == wanted)

    def _next(self) -> Resource:
        self.last_weight += 1
        share = Share(service=self._service, group=self._group, weight=self.last_weight)
        return Resource(share=share)
