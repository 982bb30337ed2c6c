"""Checks the shape of a batch before it is proposed: names, sizes, ranges.

Every problem is found in one pass. Whether references hold, and whether anything overlaps with
what is held, depends on the state and is checked by the state machine. Durations are in
milliseconds, sizes in bytes.
"""

from __future__ import annotations

import math
import re
from collections import Counter
from collections.abc import Iterator

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import (
    CALL_KIND_AT_MOST_ONCE,
    CALL_KIND_ONCE_PER_ATTEMPT,
    CALL_KIND_REPEATABLE,
    ROLLOUT_STATE_COMPLETED,
    ROLLOUT_STATE_ROLLED_BACK,
    ROLLOUT_STATE_RUNNING,
    Batch,
    Resource,
    Rollout,
    Route,
    Secret,
    Service,
    Share,
    Tenant,
    ZoneDrain,
)
from limelever.protocol.keys import KIND_TEXT, SEPARATOR, Key
from limelever.source.overlaps import header_overlaps, key_overlaps, route_overlaps
from limelever.source.region_checks import ANY_REGION, region_problems
from limelever.source.request_records import position_of

MAX_BATCH_BYTES = 1 << 20
MAX_BATCH_RESOURCES = 1000
MAX_REPLACEMENT_BYTES = 8 << 20
MAX_REPLACEMENT_RESOURCES = 20_000
MAX_WEIGHT = 10_000
MAX_DURATION_MS = 3_600_000
MAX_BODY_BYTES = 1 << 30
MAX_PATH_PREFIX = 512
MAX_METHODS = 16
MAX_ROUTE_SECRETS = 16
MAX_SECRET_VALUE_BYTES = 4096
MAX_PERCENT = 100
MAX_PERMILLE = 1000
MAX_REASON = 512
MAX_KEY_NAME = 127
MAX_WARM_UP_RATE = 1e6
"""Largest rate of a warming back end, in calls per second."""

MAX_ORDERED_BY = 128
MAX_CONNECTIONS = 65_535
MAX_ATTEMPTS = 100
MAX_PRIORITY = 100
MAX_PARTS = 100
MAX_RELEASED_REQUESTS = 64
MAX_TENANT_KEYS = 64
MAX_TENANT_RATE = 1e9
KEY_DIGEST_BYTES = 32
BATCH_SUBJECT = "batch"

_NAME = re.compile(r"[a-z0-9](?:[a-z0-9._-]{0,61}[a-z0-9])?")
_PATH_PREFIX = re.compile(r"/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*")
_HOST = re.compile(r"[a-z0-9_](?:[a-z0-9_.-]{0,252})(?::[0-9]{1,5})?")
_METHOD = re.compile(r"[A-Z]{1,16}")
_HEADER_NAME = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}")
_HEADER_VALUE = re.compile(rb"[\x21-\x7e](?:[\t\x20-\x7e]*[\x21-\x7e])?")
_RESERVED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_DIGEST = re.compile(r"[0-9a-f]{16}")
_ZONE = re.compile(r"[\x21-\x2e\x30-\x7e]{1,64}")
_VERSION = re.compile(r"[\x21-\x7e]{1,64}")
_TARGET = re.compile(r"/[\x21-\x7e]{0,511}")
_CALL_KINDS = (CALL_KIND_REPEATABLE, CALL_KIND_AT_MOST_ONCE, CALL_KIND_ONCE_PER_ATTEMPT)
_ROLLOUT_STATES = (ROLLOUT_STATE_RUNNING, ROLLOUT_STATE_COMPLETED, ROLLOUT_STATE_ROLLED_BACK)
_BODY_REASON = "must be a service, a route, a share, a secret, a rollout, a tenant or a zone drain"
_NAME_REASON = "must be 1 to 63 of a-z 0-9 . _ - and begin and end with a letter or digit"


class FieldProblem(Struct, frozen=True):
    """One thing wrong with a batch: which resource, which field, and why."""

    resource: str
    field: str
    reason: str

    def __str__(self) -> str:
        """Return ``resource: field: reason``."""
        return f"{self.resource}: {self.field}: {self.reason}"


Finding = tuple[str, str]


def validate_batch(batch: Batch, regions: frozenset[str] = ANY_REGION) -> tuple[FieldProblem, ...]:
    """Return all that is wrong with ``batch``, its request id included; empty = sound.

    ``regions`` are those that the zones in the settings have.
    """
    problems = [FieldProblem(BATCH_SUBJECT, field, reason) for field, reason in _batch(batch)]
    wrong_id = validate_request_id(BATCH_SUBJECT, batch.request_id)
    if batch.HasField("revision"):
        wrong_id = _revision(batch)
    return (*wrong_id, *problems, *validate_resources(batch, regions))


def _revision(batch: Batch) -> tuple[FieldProblem, ...]:
    """A revision takes the place of the request id: its number tells a resend."""
    if batch.request_id:
        reason = "must be empty beside a revision, whose number tells a resend"
        return (FieldProblem(BATCH_SUBJECT, "request_id", reason),)
    if batch.revision.number <= batch.revision.base:
        reason = f"{batch.revision.number} must be above its base, {batch.revision.base}"
        return (FieldProblem(BATCH_SUBJECT, "revision", reason),)
    return ()


def validate_request_id(subject: str, request_id: str) -> tuple[FieldProblem, ...]:
    """Return what is wrong with the request id of ``subject``; empty = sound."""
    if position_of(request_id) is not None:
        return ()
    reason = "must be UNIQUE@POSITION, the position a committed log index"
    return (FieldProblem(subject, "request_id", reason),)


def validate_resources(
    batch: Batch, regions: frozenset[str] = ANY_REGION
) -> tuple[FieldProblem, ...]:
    """Return what is wrong with the resources and keys of ``batch``."""
    problems: list[FieldProblem] = []
    for index, resource in enumerate(batch.put):
        subject = _subject(Key.of(resource), f"put[{index}]")
        problems += [FieldProblem(subject, *finding) for finding in _resource(resource)]
    for index, key in enumerate(batch.delete):
        if key.kind not in KIND_TEXT or not 1 <= len(key.name) <= MAX_KEY_NAME:
            reason = f"needs a kind and a name of at most {MAX_KEY_NAME} characters"
            problems.append(FieldProblem(f"delete[{index}]", "key", reason))
    for found in region_problems(batch, regions):
        subject = _subject(found.key, BATCH_SUBJECT)
        problems.append(FieldProblem(subject, "allowed_regions", found.reason))
    return (*problems, *_duplicates(batch), *_overlaps(batch))


def failure_of(problems: tuple[FieldProblem, ...]) -> Failure:
    """Return ``INVALID_REQUEST`` with every problem in its reason."""
    resources = dict.fromkeys(problem.resource for problem in problems)
    return Failure(
        ErrorKind.INVALID_REQUEST, "; ".join(str(problem) for problem in problems), tuple(resources)
    )


def _subject(key: Key, fallback: str) -> str:
    """Return the key's text, or where it stands when its name is not fit to be repeated."""
    return str(key) if 1 <= len(key.name) <= MAX_KEY_NAME else fallback


def _batch(batch: Batch) -> Iterator[Finding]:
    count = len(batch.put) + len(batch.delete)
    most = MAX_REPLACEMENT_RESOURCES if batch.replace else MAX_BATCH_RESOURCES
    most_bytes = MAX_REPLACEMENT_BYTES if batch.replace else MAX_BATCH_BYTES
    if not count and not batch.replace:
        yield "put", "batch changes nothing"
    if count > most:
        yield "put", f"{count} resources, at most {most}"
    if batch.ByteSize() > most_bytes:
        yield "put", f"{batch.ByteSize()} bytes, at most {most_bytes}"


def _duplicates(batch: Batch) -> Iterator[FieldProblem]:
    keys = [Key.of(resource) for resource in batch.put]
    keys += [Key.from_message(key) for key in batch.delete]
    for key, count in Counter(keys).items():
        if count > 1 and key.name:
            yield FieldProblem(
                _subject(key, BATCH_SUBJECT), "name", f"stands {count} times in the batch"
            )


def _overlaps(batch: Batch) -> Iterator[FieldProblem]:
    """Yield what overlaps within the batch; against the state the state machine looks."""
    routes = [resource.route for resource in batch.put if resource.HasField("route")]
    bodies = [resource.secret for resource in batch.put if resource.HasField("secret")]
    secrets = {secret.name: secret for secret in bodies}
    for overlap in route_overlaps(routes):
        yield FieldProblem(str(overlap.keys[0]), "path_prefix", overlap.reason)
    for route in routes:
        for overlap in header_overlaps(route, secrets):
            yield FieldProblem(str(overlap.keys[0]), "secrets", overlap.reason)
    tenants = [resource.tenant for resource in batch.put if resource.HasField("tenant")]
    for overlap in key_overlaps(tenants):
        yield FieldProblem(str(overlap.keys[0]), "key_digests", overlap.reason)


def _resource(resource: Resource) -> Iterator[Finding]:
    match resource.WhichOneof("body"):
        case "service":
            yield from _service(resource.service)
        case "route":
            yield from _route(resource.route)
        case "share":
            yield from _share(resource.share)
        case "secret":
            yield from _secret(resource.secret)
        case "rollout":
            yield from _rollout(resource.rollout)
        case "tenant":
            yield from _tenant(resource.tenant)
        case "zone_drain":
            yield from _zone_drain(resource.zone_drain)
        case _:
            yield "body", _BODY_REASON


def _service(service: Service) -> Iterator[Finding]:
    yield from _name("name", service.name)
    yield from _at_most("drain_limit_ms", service.drain_limit_ms, MAX_DURATION_MS)
    yield from _at_most("max_body_bytes", service.max_body_bytes, MAX_BODY_BYTES)
    yield from _at_most("slow_start_ms", service.slow_start_ms, MAX_DURATION_MS)
    yield from _at_most("max_connections", service.max_connections, MAX_CONNECTIONS)
    yield from _at_most("warm_up_ms", service.warm_up_ms, MAX_DURATION_MS)
    rate = service.warm_up_calls_per_s
    if math.isnan(rate) or not 0 <= rate <= MAX_WARM_UP_RATE:
        yield "warm_up_calls_per_s", f"must be a number from 0 to {MAX_WARM_UP_RATE:.0f}"
    if service.health_path:
        yield from _target("health_path", service.health_path)
    released = service.released_requests
    yield from _at_most("released_requests", len(released), MAX_RELEASED_REQUESTS)
    if not all(_DIGEST.fullmatch(digest) for digest in released):
        yield "released_requests", "must be digests as logged, of 16 digits 0 to 9 and a to f"


def _route(route: Route) -> Iterator[Finding]:
    yield from _name("name", route.name)
    yield from _services(route)
    if route.host and not _HOST.fullmatch(route.host):
        yield "host", "must be a host name in lower case, with a port or without"
    yield from _path_prefix(route.path_prefix)
    yield from _methods(list(route.methods))
    if route.call_kind not in _CALL_KINDS:
        yield "call_kind", "must be repeatable, at_most_once or once_per_attempt"
    yield from _at_most("timeout_ms", route.timeout_ms, MAX_DURATION_MS)
    yield from _at_most("attempts", route.attempts, MAX_ATTEMPTS)
    yield from _at_most("priority", route.priority, MAX_PRIORITY)
    yield from _at_most("target_latency_ms", route.target_latency_ms, MAX_DURATION_MS)
    yield from _at_most("retry_budget_percent", route.retry_budget_percent, MAX_PERCENT)
    yield from _at_most("secrets", len(route.secrets), MAX_ROUTE_SECRETS)
    if len(set(route.secrets)) != len(route.secrets):
        yield "secrets", "names a secret twice"
    for name in route.secrets:
        yield from _name("secrets", name)


def _services(route: Route) -> Iterator[Finding]:
    """A route names one service, or the parts of a split."""
    if not route.split:
        yield from _name("service", route.service)
        return
    if route.service:
        yield "service", "must be empty beside a split"
    yield from _at_most("split", len(route.split), MAX_PARTS)
    names = [part.service for part in route.split]
    if len(set(names)) != len(names):
        yield "split", "names a service twice"
    for part in route.split:
        yield from _name("split", part.service)
        if not 1 <= part.weight <= MAX_WEIGHT:
            yield "split", f"weight must be 1 to {MAX_WEIGHT}, is {part.weight}"


def _target(field: str, target: str) -> Iterator[Finding]:
    if not _TARGET.fullmatch(target):
        yield field, "must begin with / and be visible ASCII of at most 512 characters"


def _share(share: Share) -> Iterator[Finding]:
    yield from _name("service", share.service)
    yield from _name("group", share.group)
    if not 1 <= share.weight <= MAX_WEIGHT:
        yield "weight", f"must be 1 to {MAX_WEIGHT}, is {share.weight}"


def _secret(secret: Secret) -> Iterator[Finding]:
    yield from _name("name", secret.name)
    if not _HEADER_NAME.fullmatch(secret.header):
        yield "header", "must be an HTTP header name of 1 to 64 characters"
    if secret.header.lower() in _RESERVED_HEADERS:
        yield "header", "is a header that the proxy itself sets"
    if not 1 <= len(secret.value) <= MAX_SECRET_VALUE_BYTES:
        yield "value", f"must be 1 to {MAX_SECRET_VALUE_BYTES} bytes"
    elif not _HEADER_VALUE.fullmatch(secret.value):
        yield "value", "must be visible ASCII, with spaces or tabs only inside"


def _rollout(rollout: Rollout) -> Iterator[Finding]:
    yield from _name("service", rollout.service)
    for field, version in (("target", rollout.target), ("baseline", rollout.baseline)):
        if not _VERSION.fullmatch(version) and (version or field == "target"):
            yield field, "must be visible ASCII of 1 to 64 characters"
    if rollout.target == rollout.baseline:
        yield "target", "must differ from the baseline"
    if rollout.state not in _ROLLOUT_STATES:
        yield "state", "must be running, completed or rolled_back"
    yield from _at_most("permille", rollout.permille, MAX_PERMILLE)
    yield from _at_most("duration_ms", rollout.duration_ms, MAX_DURATION_MS)
    if not rollout.duration_ms:
        yield "duration_ms", "must be above 0"
    yield from _at_most("reason", len(rollout.reason), MAX_REASON)


def _tenant(tenant: Tenant) -> Iterator[Finding]:
    yield from _name("name", tenant.name)
    digests = tenant.key_digests
    yield from _at_most("key_digests", len(digests), MAX_TENANT_KEYS)
    if any(len(digest) != KEY_DIGEST_BYTES for digest in digests):
        yield "key_digests", f"must be digests of {KEY_DIGEST_BYTES} bytes"
    if len(set(digests)) != len(digests):
        yield "key_digests", "names a key twice"
    yield from _at_most("priority", tenant.priority, MAX_PRIORITY)
    for field, value in (("rate_per_s", tenant.rate_per_s), ("burst", tenant.burst)):
        if math.isnan(value) or not 0 <= value <= MAX_TENANT_RATE:
            yield field, f"must be a number from 0 to {MAX_TENANT_RATE:.0f}"


def _zone_drain(drain: ZoneDrain) -> Iterator[Finding]:
    if not _ZONE.fullmatch(drain.zone):
        yield "zone", "must be visible ASCII without / of 1 to 64 characters"
    yield from _at_most("ordered_by", len(drain.ordered_by), MAX_ORDERED_BY)


def _name(field: str, name: str) -> Iterator[Finding]:
    if not _NAME.fullmatch(name):
        yield field, _NAME_REASON


def _at_most(field: str, value: int, limit: int) -> Iterator[Finding]:
    if value > limit:
        yield field, f"must be at most {limit}, is {value}"


def _path_prefix(prefix: str) -> Iterator[Finding]:
    if not _PATH_PREFIX.fullmatch(prefix) or len(prefix) > MAX_PATH_PREFIX:
        yield "path_prefix", f"must begin with / and be a path of at most {MAX_PATH_PREFIX}"
        return
    parts = prefix.split(SEPARATOR)[1:]
    if any(part in (".", "..") for part in parts) or "" in parts[:-1]:
        yield "path_prefix", "must not hold empty, . or .. segments"


def _methods(methods: list[str]) -> Iterator[Finding]:
    yield from _at_most("methods", len(methods), MAX_METHODS)
    if len(set(methods)) != len(methods):
        yield "methods", "names a method twice"
    if not all(_METHOD.fullmatch(method) for method in methods):
        yield "methods", "must be upper-case HTTP methods"
