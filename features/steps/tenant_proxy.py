"""A proxy core with tenants, one agent that accepts every call, and a controllable clock."""

from __future__ import annotations

import random

from limelever.common.http_headers import HeaderNames
from limelever.common.sansio import (
    Address,
    ConnectionOpened,
    DeadlineReached,
    LogEvent,
    OpenConnection,
    Peer,
    Purpose,
    Recovered,
    Role,
    SendMessage,
)
from limelever.common.settings import LogSettings
from limelever.keeper.settings import KeeperClientSettings
from limelever.protocol.calls_pb2 import CallStart
from limelever.protocol.config_pb2 import (
    CALL_KIND_REPEATABLE,
    Resource,
    Route,
    Service,
    Tenant,
    VersionedResource,
)
from limelever.protocol.endpoints_pb2 import ENDPOINT_STATE_READY, Endpoint, EndpointUpdate
from limelever.protocol.keys import tenant_key
from limelever.protocol.tenant_keys import digest_of
from limelever.proxy.admission import AdmissionSettings
from limelever.proxy.api_key_auth import ApiKeyHeader
from limelever.proxy.attempts import AttemptSettings
from limelever.proxy.call_types import AnswerCall, CallArrived, CallRequest
from limelever.proxy.calls import CallSettings
from limelever.proxy.core import ProxyCore, ProxyCoreSettings
from limelever.subscriber.configuration import EMPTY_CONFIGURATION
from limelever.subscriber.notices import ConfigurationInstalled, EndpointsReceived, FreshnessProved
from limelever.subscriber.settings import SubscriberSettings

NAMES = HeaderNames(tenant=b"x-tenant", key_scheme=b"token")
ROUTES = (("desk", False, 2), ("open", True, 3))


def versioned(**body):
    return VersionedResource(version=1, resource=Resource(**body))


def tenant(name, *keys, priority=0, **limit):
    digests = [digest_of(key.encode()) for key in keys]
    return versioned(tenant=Tenant(name=name, key_digests=digests, priority=priority, **limit))


def route(name, public=False, priority=0):
    return versioned(
        route=Route(
            name=name,
            path_prefix=f"/{name}",
            service="orders",
            call_kind=CALL_KIND_REPEATABLE,
            public=public,
            priority=priority,
        )
    )


class TenantProxy:
    """Drives the core in virtual time; ``now`` starts at 100 seconds."""

    def __init__(self, tenants, revoked_after=0.0, confirmed=True):
        header = ApiKeyHeader(NAMES.authorization, NAMES.key_scheme)
        admission = AdmissionSettings(key_header=header, revoked_after=revoked_after)
        self.now = 100.0
        self.core = ProxyCore(
            ProxyCoreSettings(
                SubscriberSettings(publishers=(Address("127.0.0.1", 1),), every_service=True),
                KeeperClientSettings(keepers=()),
                calls=CallSettings(admission=admission, log=LogSettings().decisions()),
                attempts=AttemptSettings(reserved_headers=NAMES.set_by_mesh),
            ),
            random.Random(1),
            Recovered(),
        )
        self.version = 0
        self.configuration = EMPTY_CONFIGURATION
        self.logs, self.starts, self.answers = [], [], []
        routes = [route(*each) for each in ROUTES]
        self.change([versioned(service=Service(name="orders")), *routes, *tenants])
        if confirmed:
            self.core._record_freshness(FreshnessProved(self.now), self.now)
        endpoint = Endpoint(
            service="orders",
            instance="i1",
            incarnation=1,
            sequence=1,
            host="10.0.0.1",
            port=1,
            slots=6,
            state=ENDPOINT_STATE_READY,
        )
        update = EndpointsReceived(EndpointUpdate(endpoints=[endpoint]))
        self.core._update_endpoints(update, self.now)
        self.number = 0

    def change(self, put, removed=()):
        self.version += 1
        keys = [tenant_key(name) for name in removed]
        self.configuration = self.configuration.changed(keys, put)
        installed = ConfigurationInstalled(
            self.version, self.configuration, put=tuple(put), removed=tuple(keys)
        )
        self.core._apply_configuration(installed, self.now)
        self._process(self.core._drain_outputs(self.now))

    def call(self, route_name, headers):
        self.number += 1
        self.starts, self.answers = [], []
        request = CallRequest(
            method=b"GET",
            target=f"/{route_name}".encode(),
            headers=headers,
            body=b"",
            timeout=5.0,
            request_id=b"c1",
        )
        self._process(self.core.handle(CallArrived(self.number, request), self.now))

    def advance(self, seconds):
        self.now += seconds
        self._process(self.core.handle(DeadlineReached(), self.now))

    def _process(self, outputs):
        for output in outputs:
            if isinstance(output, OpenConnection):
                peer = Peer(Role.AGENT, "agent", "", Purpose.CALLS, incarnation=1)
                opened = ConnectionOpened(output.connection, peer)
                self._process(self.core.handle(opened, self.now))
            elif isinstance(output, SendMessage) and isinstance(output.message, CallStart):
                self.starts.append(output.message)
            elif isinstance(output, AnswerCall):
                self.answers.append(output)
            elif isinstance(output, LogEvent):
                self.logs.append(output)
