"""Files of resources: TOML with service, route, share, secret and tenant tables, into a batch."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Literal

import attrs
import cattrs

from limelever.common.settings import SettingsProblem, SettingsProblems, between
from limelever.common.settings.reader import read_table
from limelever.common.settings.structure import explain, structure
from limelever.protocol.config_pb2 import (
    CALL_KIND_AT_MOST_ONCE,
    CALL_KIND_REPEATABLE,
    Batch,
    Resource,
    Route,
    Secret,
    Service,
    Share,
    Tenant,
)
from limelever.protocol.tenant_keys import LONGEST_KEY, digest_of, is_well_formed
from limelever.source.validation import validate_resources

_LARGEST_UINT32 = (1 << 32) - 1
_CALL_KINDS = {"repeatable": CALL_KIND_REPEATABLE, "at_most_once": CALL_KIND_AT_MOST_ONCE}
_unsigned = between(0, _LARGEST_UINT32)


@attrs.frozen(kw_only=True)
class ServiceTable:
    """A ``[[service]]`` table; durations in milliseconds, sizes in bytes, 0 = default."""

    name: str
    drain_limit_ms: int = attrs.field(default=0, validator=_unsigned)
    max_body_bytes: int = attrs.field(default=0, validator=_unsigned)
    slow_start_ms: int = attrs.field(default=0, validator=_unsigned)
    warm_up_ms: int = attrs.field(default=0, validator=_unsigned)
    warm_up_calls_per_s: float = 0.0
    released_requests: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class RouteTable:
    """A ``[[route]]`` table."""

    name: str
    service: str
    path_prefix: str
    call_kind: Literal["repeatable", "at_most_once"]
    methods: tuple[str, ...] = ()
    timeout_ms: int = attrs.field(default=0, validator=_unsigned)
    secrets: tuple[str, ...] = ()
    retry_budget_percent: int = attrs.field(default=0, validator=_unsigned)
    public: bool = False
    allowed_regions: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ShareTable:
    """A ``[[share]]`` table."""

    service: str
    group: str
    weight: int = attrs.field(validator=_unsigned)


@attrs.frozen(kw_only=True)
class SecretTable:
    """A ``[[secret]]`` table; its value comes from exactly one of the three keys."""

    name: str
    header: str
    value: str | None = attrs.field(default=None, repr=False)
    value_file: str | None = None
    value_env: str | None = None


@attrs.frozen(kw_only=True)
class TenantTable:
    """A ``[[tenant]]`` table; its keys leave the file as digests only."""

    name: str
    keys: tuple[str, ...] = attrs.field(default=(), repr=False)
    priority: int = attrs.field(default=0, validator=_unsigned)
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ResourceFile:
    """A whole file of resources."""

    service: tuple[ServiceTable, ...] = ()
    route: tuple[RouteTable, ...] = ()
    share: tuple[ShareTable, ...] = ()
    secret: tuple[SecretTable, ...] = ()
    tenant: tuple[TenantTable, ...] = ()


def read_resources(path: Path, environment: Mapping[str, str]) -> Batch | SettingsProblems:
    """Return a batch that puts all resources of the file, or everything wrong with it."""
    table = read_table(path)
    if isinstance(table, SettingsProblems):
        return table
    try:
        content = structure(table, ResourceFile)
    except cattrs.BaseValidationError as error:
        found = (SettingsProblem(str(path), key, reason) for key, reason in explain(error))
        return SettingsProblems(tuple(found))
    batch = Batch(put=[*_services(content), *_routes(content), *_shares(content)])
    problems: list[SettingsProblem] = []
    for index, secret in enumerate(content.secret):
        value = _secret_value(secret, path.parent, environment)
        if isinstance(value, str):
            problems.append(SettingsProblem(str(path), f"secret[{index}]", value))
            continue
        body = Secret(name=secret.name, header=secret.header, value=value)
        batch.put.append(Resource(secret=body))
    for index, tenant in enumerate(content.tenant):
        if all(is_well_formed(key.encode()) for key in tenant.keys):
            batch.put.append(_tenant(tenant))
            continue
        reason = f"a key must be visible ASCII of 1 to {LONGEST_KEY} characters"
        problems.append(SettingsProblem(str(path), f"tenant[{index}].keys", reason))
    problems += [
        SettingsProblem(str(path), f"{problem.resource}: {problem.field}", problem.reason)
        for problem in validate_resources(batch)
    ]
    return SettingsProblems(tuple(problems)) if problems else batch


def _services(content: ResourceFile) -> list[Resource]:
    return [Resource(service=Service(**attrs.asdict(table))) for table in content.service]


def _routes(content: ResourceFile) -> list[Resource]:
    resources = []
    for table in content.route:
        fields = attrs.asdict(table)
        fields["call_kind"] = _CALL_KINDS[table.call_kind]
        resources.append(Resource(route=Route(**fields)))
    return resources


def _shares(content: ResourceFile) -> list[Resource]:
    return [Resource(share=Share(**attrs.asdict(table))) for table in content.share]


def _tenant(table: TenantTable) -> Resource:
    return Resource(
        tenant=Tenant(
            name=table.name,
            key_digests=[digest_of(key.encode()) for key in table.keys],
            priority=table.priority,
            rate_per_s=table.rate_per_s,
            burst=table.burst,
            allowed_regions=table.allowed_regions,
        )
    )


def _secret_value(secret: SecretTable, folder: Path, environment: Mapping[str, str]) -> bytes | str:
    """Return the value as bytes, or the reason there is none as text."""
    given = [secret.value, secret.value_file, secret.value_env]
    if sum(item is not None for item in given) != 1:
        return "needs exactly one of value, value_file and value_env"
    if secret.value is not None:
        return secret.value.encode()
    if secret.value_env is not None:
        value = environment.get(secret.value_env)
        return os.fsencode(value) if value else f"{secret.value_env} is not in the environment"
    assert secret.value_file is not None
    try:
        return (folder / secret.value_file).read_bytes().rstrip(b"\r\n")
    except OSError as error:
        return f"value_file: {error.strerror or error}"
