"""A small network of sans-io cores under virtual time, for the features of distribution."""

import heapq
import itertools
import random
from collections import Counter

from limelever.common.errors import ErrorKind, Failure
from limelever.common.framing import encode_frame
from limelever.common.sansio import (
    Address,
    CloseConnection,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    DeadlineReached,
    DialledConnections,
    LogEvent,
    MessageReceived,
    OpenConnection,
    Peer,
    Recovered,
    ReplaceFile,
    Role,
    SendMessage,
    Started,
    WriteCompleted,
)
from limelever.protocol.config_pb2 import Resource, VersionedResource
from limelever.protocol.distribution_pb2 import ConfigDelta, ConfigSnapshot
from limelever.protocol.endpoints_pb2 import EndpointUpdate
from limelever.protocol.feature_level import CURRENT_LEVEL
from limelever.protocol.keys import Key
from limelever.publisher.core import PublisherCore
from limelever.publisher.notices import FreshnessNeeded
from limelever.publisher.settings import PublisherSettings
from limelever.quarantine.crash_history import CrashHistory
from limelever.relay.core import RelayCore, RelayOptions
from limelever.relay.endpoint_exchange import EndpointExchangeSettings
from limelever.subscriber.core import SubscriberCore
from limelever.subscriber.notices import (
    ConfigurationInstalled,
    CrashNewsReceived,
    EndpointsReceived,
)
from limelever.subscriber.settings import SubscriberSettings

DELAY = 0.001
DIAL_TIMEOUT = 3.0


def resource(text, **fields):
    """Build a resource from ``kind/name``; a share is ``share/service/group``."""
    kind, _, name = text.partition("/")
    if kind == "share":
        service, _, group = name.partition("/")
        return Resource(share={"service": service, "group": group, "weight": 1, **fields})
    if kind == "zone-drain":
        return Resource(zone_drain={"zone": name, **fields})
    return Resource(**{kind: {"name": name, **fields}})


def names(text):
    return [part.strip() for part in text.split(",") if part.strip()]


def build(text, service="", secrets=""):
    if text.startswith("route/"):
        return resource(text, service=service, secrets=names(secrets))
    return resource(text)


class SourceHost:
    """A publisher whose freshness is proved at once, unless it is cut off from its majority."""

    def __init__(self, settings, isolated=False):
        self.publisher = PublisherCore(settings)
        self.publisher.load(0, (), 0.0)
        self.isolated = isolated

    def handle(self, event, now):
        return self._proved(self.publisher.handle(event, now), now)

    def apply(self, version, put, removed, now):
        versioned = [VersionedResource(resource=body, version=version) for body in put]
        return self._proved(self.publisher.advance(version, versioned, removed, now), now)

    def next_deadline(self):
        return self.publisher.next_deadline()

    def _proved(self, outputs, now):
        done = []
        for output in outputs:
            if not isinstance(output, FreshnessNeeded):
                done.append(output)
            elif not self.isolated:
                done.extend(self._proved(self.publisher.proved_fresh(output.began, now), now))
        return done


class ReaderHost:
    """A proxy: checks on each installation what must always hold."""

    def __init__(self, settings, files, seed):
        self.subscriber = SubscriberCore(
            settings,
            DialledConnections(),
            itertools.count(1),
            random.Random(seed),
            Recovered(files=files),
        )
        self.installed = []
        self.versions = []
        self.endpoints = {}
        self.evidence = CrashHistory()
        self.crash_news = 0

    def handle(self, event, now):
        outputs = self.subscriber.handle(event, now)
        for output in outputs:
            if isinstance(output, CrashNewsReceived):
                self.crash_news += not output.news.full
                self.evidence.merge(output.news, now)
            if isinstance(output, ConfigurationInstalled):
                assert output.configuration.dangling() == ()
                self.installed.append(output.version)
            if isinstance(output, EndpointsReceived):
                self._merge(output.update)
        self.versions.append(self.subscriber.version)
        return outputs

    def next_deadline(self):
        return self.subscriber.next_deadline()

    def _merge(self, update):
        if update.full:
            self.endpoints.clear()
        for endpoint in update.endpoints:
            self.endpoints[endpoint.instance] = endpoint

    @property
    def held(self):
        configuration = self.subscriber.configuration
        return configuration.resources if configuration is not None else {}


class Node:
    def __init__(self, name, core, role, zone):
        self.name, self.core, self.role, self.zone = name, core, role, zone
        self.links = {}
        self.accepted = itertools.count(1, 2)
        self.cancelled = set()
        self.callers = Counter()
        self.files = {}
        self.log = []
        self.received = []
        self.disk_stalled = False
        self.stalled_writes = []


class Network:
    """Nodes by name; a dialled address is found by its port."""

    def __init__(self):
        self.now = 0.0
        self.nodes = {}
        self.ports = {}
        self.queue = []
        self.numbers = itertools.count()
        self.cuts = set()
        self.dark = set()
        self.bytes = {}
        self.damages = {}
        self.levels = {}

    def add(self, name, core, role, zone="zone-a"):
        node = Node(name, core, role, zone)
        previous = self.nodes.get(name)
        if previous is not None:
            node.files = previous.files
        self.nodes[name] = node
        self.ports.setdefault(name, len(self.ports) + 1)
        self.tell(name, Started())
        return node

    def address(self, name):
        return Address("127.0.0.1", self.ports.setdefault(name, len(self.ports) + 1))

    def later(self, delay, action, *arguments):
        heapq.heappush(self.queue, (self.now + delay, next(self.numbers), action, arguments))

    def tell(self, name, event):
        node = self.nodes[name]
        self.carry_out(name, node.core.handle(event, self.now))

    def carry_out(self, name, outputs):
        node = self.nodes[name]
        for output in outputs:
            match output:
                case OpenConnection():
                    self.later(DELAY, self._dial, node, output)
                case SendMessage(connection, message):
                    self._send(node, connection, message)
                case CloseConnection(connection, reason):
                    self._close(node, connection, reason)
                case ReplaceFile():
                    self._write(node, output)
                case LogEvent(code, fields):
                    node.log.append((code, fields))

    def kill(self, name):
        node = self.nodes.pop(name)
        for connection in tuple(node.links):
            self._close(node, connection, "killed")
        self.nodes[name] = Node(name, DeadCore(), node.role, node.zone)
        self.nodes[name].files = node.files
        self.dark.add(name)

    def sync(self, name):
        node = self.nodes[name]
        node.disk_stalled = False
        writes, node.stalled_writes = node.stalled_writes, []
        for write in writes:
            self._write(node, write)

    def run(self, duration):
        end = self.now + duration
        while True:
            at = min([end, *self._times()])
            if at >= end and not self._due(end):
                break
            self.now = max(self.now, at)
            self._step()
        self.now = end

    def _times(self):
        deadlines = [n.core.next_deadline() for n in self.nodes.values()]
        queued = self.queue[0][0] if self.queue else None
        return [at for at in (*deadlines, queued) if at is not None]

    def _due(self, end):
        return any(at < end for at in self._times())

    def _step(self):
        if self.queue and self.queue[0][0] <= self.now:
            _, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
            return
        for name, node in tuple(self.nodes.items()):
            deadline = node.core.next_deadline()
            if deadline is not None and deadline <= self.now:
                self.tell(name, DeadlineReached())

    def _dial(self, node, output):
        if self.nodes.get(node.name) is not node or output.connection in node.cancelled:
            return
        target = next((n for n, port in self.ports.items() if port == output.address.port), None)
        if target in self.nodes and self._cut(node.name, target):
            self.later(DIAL_TIMEOUT, self._fail_dial, node, output.connection, "timed out")
            return
        if target not in self.nodes or target in self.dark:
            self._fail_dial(node, output.connection, "refused")
            return
        other = self.nodes[target]
        accepted = next(other.accepted)
        other.callers[node.name] += 1
        node.links[output.connection] = (other, accepted)
        other.links[accepted] = (node, output.connection)
        self.tell(target, ConnectionOpened(accepted, self._peer(node, output.purpose)))
        self.tell(node.name, ConnectionOpened(output.connection, self._peer(other, output.purpose)))

    def _fail_dial(self, node, connection, reason):
        if self.nodes.get(node.name) is node and connection not in node.cancelled:
            failure = Failure(ErrorKind.CONNECTION_FAILED, reason)
            self.tell(node.name, ConnectionFailed(connection, failure))

    def _peer(self, node, purpose):
        level = self.levels.get(node.name, CURRENT_LEVEL)
        return Peer(node.role, node.name, node.zone, purpose, feature_level=level)

    def _send(self, node, connection, message):
        if connection not in node.links:
            return
        other, accepted = node.links[connection]
        if self._cut(node.name, other.name):
            return
        self.bytes[node.name] = self.bytes.get(node.name, 0) + len(encode_frame(message))
        copy = type(message).FromString(message.SerializeToString())
        self.later(DELAY, self._deliver, other, accepted, copy)

    def _deliver(self, node, connection, message):
        if connection in node.links and self.nodes.get(node.name) is node:
            if isinstance(message, ConfigDelta) and node.name in self.damages:
                self.damages.pop(node.name)(message)
            node.received.append(message)
            self.tell(node.name, MessageReceived(connection, message))

    def _close(self, node, connection, reason):
        other, accepted = node.links.pop(connection, (None, None))
        if other is None:
            node.cancelled.add(connection)
            return
        self.later(DELAY, self._closed, other, accepted, reason)
        self.later(DELAY, self._told_closed, node, connection, reason)

    def _closed(self, node, connection, reason):
        if node.links.pop(connection, None) is not None:
            self._told_closed(node, connection, reason)

    def _told_closed(self, node, connection, reason):
        if self.nodes.get(node.name) is node:
            self.tell(node.name, ConnectionClosed(connection, reason))

    def _write(self, node, output):
        if node.disk_stalled:
            node.stalled_writes.append(output)
            return
        node.files[output.name] = output.content
        self.later(DELAY, self._synced, node, output.token)

    def _synced(self, node, token):
        if self.nodes.get(node.name) is node:
            self.tell(node.name, WriteCompleted(token))

    def _cut(self, one, other):
        return frozenset((one, other)) in self.cuts


class DeadCore:
    """Stands for a process that is down, or one whose messages a step sends by hand."""

    def handle(self, event, now):
        return []

    def next_deadline(self):
        return None


class Mesh:
    """Sources, relays and proxies, with what the source holds at each version."""

    def __init__(self, settings=None):
        self.network = Network()
        self.settings = settings or PublisherSettings(batch_delay=0.0)
        self.version = 0
        self.truth = {}
        self.changes = []
        self.sources = []
        self.incarnation = 0
        self.readers = {}

    def add_source(self, name, isolated=False):
        host = SourceHost(self.settings, isolated)
        self.sources.append(name)
        self.network.add(name, host, Role.SOURCE)
        return host

    def apply(self, put=(), removed=(), to=None):
        self.version += 1
        for body in put:
            self.truth[Key.of(body)] = VersionedResource(resource=body, version=self.version)
        for key in removed:
            self.truth.pop(key, None)
        self.changes.append((self.version, tuple(put), tuple(removed)))
        for name in self.sources if to is None else to:
            self.catch_up(name)

    def catch_up(self, name):
        """Bring a source to the version of the mesh."""
        host, now = self.network.nodes[name].core, self.network.now
        for version, put, removed in self.changes[host.publisher.version :]:
            self.network.carry_out(name, host.apply(version, put, removed, now))

    def add_reader(self, name, settings, zone="zone-a", role=Role.PROXY):
        node = self.network.nodes.get(name)
        files = dict(node.files) if node is not None else {}
        host = ReaderHost(settings, files, seed=name)
        self.network.dark.discard(name)
        self.network.add(name, host, role, zone)
        self.readers.setdefault(name, []).append(host)
        return host

    def add_relay(
        self, name, zone="zone-a", peers=(), sealer=None, admission_burst=800.0, **endpoints
    ):
        """Add a relay, or start it again with what its disk holds."""
        node = self.network.nodes.get(name)
        files = dict(node.files) if node is not None else {}
        self.incarnation += 1
        options = RelayOptions(
            name=name,
            incarnation=self.incarnation,
            subscriber=SubscriberSettings(
                publishers=tuple(self.network.address(source) for source in self.sources),
                everything=True,
                persist_snapshot=True,
            ),
            publisher=PublisherSettings(
                batch_delay=0.0,
                proves_itself=False,
                admission_rate=admission_burst / 2 or 0.001,
                admission_burst=admission_burst,
            ),
            endpoints=EndpointExchangeSettings(
                peers=tuple(self.network.address(peer) for peer in peers), **endpoints
            ),
            address=self.network.address(name),
            zone=zone,
        )
        core = RelayCore(options, random.Random(name), Recovered(files=files), sealer)
        self.network.dark.discard(name)
        self.network.add(name, core, Role.RELAY, zone)
        return core

    def scope_of(self, services):
        found = {}
        for key, versioned in self.truth.items():
            body = versioned.resource
            if (
                body.service.name in services
                or body.route.service in services
                or body.share.service in services
                or body.HasField("tenant")
                or body.HasField("zone_drain")
            ):
                found[key] = versioned
        needed = {name for v in found.values() for name in v.resource.route.secrets}
        for key, versioned in self.truth.items():
            if versioned.resource.secret.name in needed:
                found[key] = versioned
        return found


def configuration_messages(node):
    return [m for m in node.received if isinstance(m, ConfigDelta | ConfigSnapshot)]


def endpoint_updates(node):
    return [m for m in node.received if isinstance(m, EndpointUpdate)]
