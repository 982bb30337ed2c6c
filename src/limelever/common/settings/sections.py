"""The sections of settings that every role has."""

from __future__ import annotations

from collections.abc import Mapping
from typing import ClassVar, Literal

import attrs

from limelever.common.decision_log import DecisionLogSettings
from limelever.common.http_headers import HeaderNames
from limelever.common.regions import NO_REGION, NO_ZONES, Regions, region_matches_zone
from limelever.common.sansio import Address, Role
from limelever.common.settings.checks import between, named_values, not_empty
from limelever.common.settings.problems import Clash
from limelever.limits.rules import LimitRules

MILLISECONDS = 1000.0
_PERCENT = 100.0
_NAMES = HeaderNames()
_BURST_SECONDS = 4.0
"""Seconds of the rate of lines on failures that may come at once."""


def seconds(milliseconds: float) -> float:
    """Convert milliseconds to seconds."""
    return milliseconds / MILLISECONDS


@attrs.frozen(kw_only=True)
class TlsSettings:
    """TLS of every link and listener; all three files, or none for cleartext."""

    certificate: str = ""
    key: str = ""
    authority: str = ""

    @property
    def enabled(self) -> bool:
        """Return whether links are to be encrypted."""
        return bool(self.certificate)


@attrs.frozen(kw_only=True)
class LogSettings:
    """Where log events go; an empty file means standard output.

    ``sample_percent`` of the requests are followed in the log, the same on every process.
    """

    format: Literal["json", "text"] = "json"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    file: str = ""
    sample_percent: int = attrs.field(default=0, validator=between(0, 100))
    failures_per_second: int = attrs.field(default=50, validator=between(1, 100000))

    def decisions(self) -> DecisionLogSettings:
        """Return which decisions about requests are written."""
        rate = float(self.failures_per_second)
        return DecisionLogSettings(self.sample_percent, rate, _BURST_SECONDS * rate)


@attrs.frozen(kw_only=True)
class AcceptedCredential:
    """A credential with which processes of one role may open links to this one."""

    role: Role
    credential: str = attrs.field(validator=not_empty, repr=False)


@attrs.frozen(kw_only=True)
class CredentialSettings:
    """The credential this process presents, and those it accepts."""

    own: str = attrs.field(default="", repr=False)
    accepted: tuple[AcceptedCredential, ...] = ()


@attrs.frozen(kw_only=True)
class LinkSettings:
    """Bounds of links between the system's own processes.

    A link on which sent bytes stay unacknowledged for ``unacknowledged_ms`` is given up: it may
    have gone silent for good, or wait much longer than a new one would after a cut.
    """

    frame_limit_bytes: int = attrs.field(default=16 << 20, validator=between(4096, 256 << 20))
    send_queue_bytes: int = attrs.field(default=32 << 20, validator=between(65536, 1 << 30))
    hello_timeout_ms: int = attrs.field(default=3000, validator=between(10, 60000))
    dial_timeout_ms: int = attrs.field(default=3000, validator=between(10, 60000))
    unacknowledged_ms: int = attrs.field(default=30000, validator=between(200, 600000))
    compress_from_bytes: int = attrs.field(default=0, validator=between(0, 1 << 30))
    connections: int = attrs.field(default=4096, validator=between(1, 65536))
    hello_connections: int = attrs.field(default=1024, validator=between(1, 65536))


@attrs.frozen(kw_only=True)
class BodySettings:
    """Limit on the request and response bodies that a process holds; see ``ByteBudget``."""

    total_bytes: int = attrs.field(default=256 << 20, validator=between(1 << 20, 1 << 40))


@attrs.frozen(kw_only=True)
class HeaderSettings:
    """Names of the HTTP headers that the mesh reads and sets; see ``HeaderNames``."""

    timeout: str = attrs.field(default=_NAMES.timeout.decode(), validator=not_empty)
    request_id: str = attrs.field(default=_NAMES.request_id.decode(), validator=not_empty)
    caller_service: str = ""
    target_instance: str = ""
    not_run: str = ""
    instance: str = ""
    load: str = ""
    warm_up: str = ""
    limit: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    answers_repeat_id: bool = False
    tenant: str = ""
    authorization: str = attrs.field(default=_NAMES.authorization.decode(), validator=not_empty)
    key_scheme: str = "Bearer"

    def names(self) -> HeaderNames:
        """Return the names in lower case, as headers are compared."""
        return HeaderNames(
            timeout=self.timeout.lower().encode(),
            request_id=self.request_id.lower().encode(),
            caller_service=self.caller_service.lower().encode(),
            target_instance=self.target_instance.lower().encode(),
            not_run=self.not_run.lower().encode(),
            instance=self.instance.lower().encode(),
            load=self.load.lower().encode(),
            warm_up=self.warm_up.lower().encode(),
            limit=_lower(self.limit),
            leaving=_lower(self.leaving),
            answers_repeat_id=self.answers_repeat_id,
            tenant=self.tenant.lower().encode(),
            authorization=self.authorization.lower().encode(),
            key_scheme=self.key_scheme.lower().encode(),
        )


def _lower(names: tuple[str, ...]) -> tuple[bytes, ...]:
    return tuple(name.lower().encode() for name in names)


def _all_or_none(*files: str) -> bool:
    return all(files) or not any(files)


@attrs.frozen(kw_only=True)
class ProcessSettings:
    """Settings every role has; ``CLASHES`` are the rules between keys, subclasses add theirs.

    ``zones`` maps the names of zones to their regions. Without it, and without ``region``, the
    process knows no regions.
    """

    CLASHES: ClassVar[tuple[Clash, ...]] = (
        Clash(
            ("tls", "tls.certificate", "tls.key", "tls.authority"),
            "needs certificate, key and authority, or none",
            lambda _tls, *files: _all_or_none(*files),
        ),
        Clash(
            ("region", "zone", "zones"), "must be the region of zone in zones", region_matches_zone
        ),
    )

    role: Role
    name: str = attrs.field(validator=not_empty)
    zone: str = attrs.field(validator=not_empty)
    region: str = NO_REGION
    zones: Mapping[str, str] = attrs.field(default=NO_ZONES, validator=named_values)
    data_folder: str = ""
    admin: Address | None = None
    stop_limit_ms: int = attrs.field(default=30000, validator=between(0, 3600000))
    tls: TlsSettings = TlsSettings()
    log: LogSettings = LogSettings()
    credentials: CredentialSettings = CredentialSettings()
    links: LinkSettings = LinkSettings()

    def regions(self) -> Regions:
        """Return the region of this process, by its zone if ``region`` is empty, and of zones."""
        return Regions(self.region or self.zones.get(self.zone, NO_REGION), self.zones)


@attrs.frozen(kw_only=True)
class TenantLimitSettings:
    """What tenants' limits mean over all proxies together."""

    window_ms: int = attrs.field(default=5000, validator=between(1000, 60000))
    over_percent: int = attrs.field(default=10, validator=between(0, 100))
    slack: int = attrs.field(default=20, validator=between(0, 100000))

    def rules(self) -> LimitRules:
        """Return the rules that the settings stand for."""
        return LimitRules(seconds(self.window_ms), self.over_percent / _PERCENT, self.slack)
