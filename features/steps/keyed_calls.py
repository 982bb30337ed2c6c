"""Callers that show keys of tenants, and instances that note what they were told of them."""

from __future__ import annotations

import random
import threading
import time
from dataclasses import dataclass

from platform_machines import NodeMachine
from platform_tenants import OPEN, RUSHED, STEADY_TENANTS, TenantPlan
from platform_traffic import (
    DOWNLOAD,
    READ,
    Callers,
    InstanceHandler,
    Runs,
    Sent,
    send,
)

TENANT_HEADER, KEY_HEADER, KEY_SCHEME = "Limelever-Tenant", "Authorization", "Token"
STEADY, LIMITED, WANDERING, UNKNOWN, NONE, PUBLIC = range(6)
WEIGHTS = {STEADY: 50, LIMITED: 20, WANDERING: 15, UNKNOWN: 5, NONE: 5, PUBLIC: 5}
SHARE_OF_DOWNLOADS, SHARE_OF_FORGED = 0.3, 0.25


@dataclass(frozen=True, slots=True)
class KeyedSent(Sent):
    """A request, the key it showed ("" for none), and when it was sent (monotonic seconds)."""

    key: str
    sent_at: float


@dataclass(frozen=True, slots=True)
class Told:
    """What an instance got with a request that it ran; ``at`` in monotonic seconds."""

    tenant: str
    headers: str
    at: float


class KeyedRuns(Runs):
    """Also notes what instances were told, by request."""

    def __init__(self) -> None:
        super().__init__()
        self._told: dict[str, list[Told]] = {}
        self._told_lock = threading.Lock()

    def note_told(self, request: str, told: Told) -> None:
        with self._told_lock:
            self._told.setdefault(request, []).append(told)

    def told(self, request: str) -> list[Told]:
        with self._told_lock:
            return list(self._told.get(request, ()))

    def clear(self) -> None:
        with self._told_lock:
            self._told.clear()
        self.by_id.clear()


class KeyedHandler(InstanceHandler):
    """One request, whose headers are noted."""

    def do_GET(self):  # noqa: N802
        self.server.owner.arrived(self.path, time.monotonic())
        request = self.headers.get("Limelever-Attempt-Id", "")
        tenants = ",".join(self.headers.get_all(TENANT_HEADER, []))
        told = Told(tenants, str(self.headers), time.monotonic())
        self.server.runs.note_told(request, told)
        super().do_GET()

    do_POST = do_GET  # noqa: N815


class KeyedCallers(Callers):
    """Callers of all tenants, also with keys that don't count, and that name tenants themselves."""

    def __init__(self, nodes: list[NodeMachine], count: int, seed: int, plan: TenantPlan) -> None:
        self._plan, self._seed = plan, seed
        super().__init__(nodes, count, seed)

    def send(self, node: NodeMachine, request: str, kind: str) -> KeyedSent:
        draw = random.Random(f"key-{self._seed}-{request}")
        (shown,) = draw.choices(list(WEIGHTS), list(WEIGHTS.values()))
        if shown == PUBLIC:
            kind = OPEN
        elif kind == READ and draw.random() < SHARE_OF_DOWNLOADS:
            kind = DOWNLOAD
        key = self._key(shown, draw)
        headers = key_headers(key)
        if draw.random() < SHARE_OF_FORGED:
            headers[TENANT_HEADER] = draw.choice((*STEADY_TENANTS, "forged"))
        sent_at = time.monotonic()
        answer = send(node, request, kind, f"/{kind}/{request}", headers)
        return KeyedSent(request, kind, node.name, answer, key, sent_at)

    def _key(self, shown: int, draw: random.Random) -> str:
        plan = self._plan
        keys = {
            STEADY: [plan.key_of(name) for name in STEADY_TENANTS],
            LIMITED: [plan.key_of(RUSHED)],
            WANDERING: plan.wandering,
            UNKNOWN: [plan.unknown],
            NONE: [""],
            PUBLIC: ["", *plan.steady],
        }
        return draw.choice(keys[shown])


def key_headers(key: str) -> dict[str, str]:
    """Return the headers by which a caller shows a key."""
    return {KEY_HEADER: f"{KEY_SCHEME} {key}"} if key else {}
