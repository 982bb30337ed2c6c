"""Settings: TOML files into typed classes, with every problem listed at once.

A role's settings are a frozen attrs class derived from :class:`ProcessSettings`. Ranges are
attrs validators; clashes between keys come from the class's ``clashes`` method. Unknown keys
are problems. Durations carry their unit in the key's name (``_ms``), sizes end in ``_bytes``.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Literal, TypeVar

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn, override

from limelever.common.sansio import Address, Role

SettingsT = TypeVar("SettingsT", bound="ProcessSettings")
MILLISECONDS = 1000.0
_LARGEST_PORT = 65535


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """One thing wrong with a settings file: which file, which key, and why."""

    file: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Return ``file: key: reason``."""
        return f"{self.file}: {self.key}: {self.reason}"


@dataclass(frozen=True, slots=True)
class SettingsProblems:
    """Sentinel returned in place of settings: everything that is wrong with them."""

    problems: tuple[SettingsProblem, ...]


def between(low: float, high: float) -> Callable[[Any, Any, Any], None]:
    """Return an attrs validator for a closed range."""

    def check(_instance: object, _attribute: object, value: float) -> None:
        if not low <= value <= high:
            raise ValueError(f"must be between {low} and {high}, is {value}")

    return check


def not_empty(_instance: Any, _attribute: Any, value: Any) -> None:
    """Check that a string or list is not empty (an attrs validator)."""
    if not value:
        raise ValueError("must not be empty")


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
    """Where log events go; an empty file means standard error."""

    format: Literal["json", "text"] = "json"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    file: str = ""


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
    """Bounds of links between the system's own processes."""

    frame_limit_bytes: int = attrs.field(default=16 << 20, validator=between(4096, 256 << 20))
    send_queue_bytes: int = attrs.field(default=32 << 20, validator=between(65536, 1 << 30))
    hello_timeout_ms: int = attrs.field(default=3000, validator=between(10, 60000))
    dial_timeout_ms: int = attrs.field(default=3000, validator=between(10, 60000))
    compress_from_bytes: int = attrs.field(default=0, validator=between(0, 1 << 30))
    connections: int = attrs.field(default=4096, validator=between(1, 65536))


@attrs.frozen(kw_only=True)
class ProcessSettings:
    """Settings every role has."""

    role: Role
    name: str = attrs.field(validator=not_empty)
    zone: str = attrs.field(validator=not_empty)
    data_folder: str = ""
    admin: Address | None = None
    stop_limit_ms: int = attrs.field(default=30000, validator=between(0, 3600000))
    tls: TlsSettings = TlsSettings()
    log: LogSettings = LogSettings()
    credentials: CredentialSettings = CredentialSettings()
    links: LinkSettings = LinkSettings()

    def clashes(self) -> list[SettingsProblem]:
        """Return what is wrong between keys; subclasses add to it. ``file`` is filled in later."""
        files = (self.tls.certificate, self.tls.key, self.tls.authority)
        if any(files) and not all(files):
            return [SettingsProblem("", "tls", "needs certificate, key and authority, or none")]
        return []


def seconds(milliseconds: float) -> float:
    """Convert milliseconds to seconds."""
    return milliseconds / MILLISECONDS


def parse_address(text: object) -> Address:
    """Parse ``host:port``; raise ``ValueError`` with the reason."""
    if not isinstance(text, str):
        raise ValueError('must be a string "host:port"')
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isascii() or not port.isdigit():
        raise ValueError(f'must be "host:port", is "{text}"')
    if not 0 <= int(port) <= _LARGEST_PORT:
        raise ValueError(f"port must be between 0 and {_LARGEST_PORT}, is {port}")
    return Address(host.strip("[]"), int(port))


def load_settings(
    path: Path, cls: type[SettingsT], overrides: Sequence[str] = ()
) -> SettingsT | SettingsProblems:
    """Read, override and check a settings file.

    ``overrides`` are ``key.path=value`` texts whose values are TOML (or plain strings).
    Returns the settings, or all problems found.
    """
    table = read_table(path)
    if isinstance(table, SettingsProblems):
        return table
    problems = [p for text in overrides if (p := _override(table, text)) is not None]
    if problems:
        return SettingsProblems(tuple(problems))
    return check_table(table, cls, str(path))


def read_table(path: Path) -> dict[str, Any] | SettingsProblems:
    """Parse a TOML file."""
    try:
        with path.open("rb") as file:
            return tomllib.load(file)
    except OSError as error:
        reason = error.strerror or str(error)
        return SettingsProblems((SettingsProblem(str(path), "(file)", reason),))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return SettingsProblems((SettingsProblem(str(path), "(file)", f"not TOML: {error}"),))


def check_table(
    table: dict[str, Any], cls: type[SettingsT], file: str
) -> SettingsT | SettingsProblems:
    """Check a parsed table against a settings class."""
    expected = getattr(cls, "ROLE", None)
    if expected is not None and table.get("role") != expected.value:
        reason = f'settings are of role "{table.get("role")}", this process is "{expected.value}"'
        return SettingsProblems((SettingsProblem(file, "role", reason),))
    try:
        settings = structure(table, cls)
    except cattrs.BaseValidationError as error:
        found = [SettingsProblem(file, key, reason) for key, reason in explain(error)]
        return SettingsProblems(tuple(found))
    clashes = settings.clashes()
    if clashes:
        return SettingsProblems(
            tuple(SettingsProblem(file, clash.key, clash.reason) for clash in clashes)
        )
    return settings


def _override(table: dict[str, Any], text: str) -> SettingsProblem | None:
    path, separator, value = text.partition("=")
    if not separator or not path:
        return SettingsProblem("--set", text, 'must be "key=value"')
    *parents, last = path.split(".")
    for parent in parents:
        child = table.setdefault(parent, {})
        if not isinstance(child, dict):
            return SettingsProblem("--set", path, f'"{parent}" is not a table')
        table = child
    try:
        table[last] = tomllib.loads(f"value = {value}")["value"]
    except tomllib.TOMLDecodeError:
        table[last] = value
    return None


T = TypeVar("T")


def structure(table: object, cls: type[T]) -> T:
    """Structure a parsed table into an attrs class; raises cattrs' validation errors."""
    return _CONVERTER.structure(table, cls)


def explain(error: BaseException, path: str = "") -> list[tuple[str, str]]:
    """Return (key, reason) for every leaf of a cattrs validation error."""
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return [(_join(path, key), "unknown key") for key in sorted(error.extra_fields)]
    if isinstance(error, cattrs.ClassValidationError):
        return _explain_class(error, path)
    if isinstance(error, cattrs.IterableValidationError):
        return _explain_items(error, path)
    if isinstance(error, KeyError):
        return [(_join(path, str(error.args[0])), "missing key")]
    return [(path or "(file)", str(error))]


def _explain_class(error: cattrs.ClassValidationError, path: str) -> list[tuple[str, str]]:
    noted, plain = error.group_exceptions()
    found: list[tuple[str, str]] = []
    for child, note in noted:
        inner = path if isinstance(child, KeyError) else _join(path, note.name)
        found.extend(explain(child, inner))
    for child in plain:
        found.extend(explain(child, path))
    return found


def _explain_items(error: cattrs.IterableValidationError, path: str) -> list[tuple[str, str]]:
    noted, plain = error.group_exceptions()
    found: list[tuple[str, str]] = []
    for child, note in noted:
        found.extend(explain(child, f"{path}[{note.index}]"))
    for child in plain:
        found.extend(explain(child, path))
    return found


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _strict(kind: type, name: str) -> Callable[[Any, Any], Any]:
    def hook(value: Any, _type: Any) -> Any:
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            raise ValueError(f"must be {name}, is of type {type(value).__name__}")
        return value

    return hook


def _role(value: Any, _type: Any) -> Role:
    try:
        return Role(value)
    except ValueError:
        known = ", ".join(role.value for role in Role)
        raise ValueError(f"must be one of {known}, is {value!r}") from None


def _optional_address(value: Any, _type: Any) -> Address:
    return parse_address(value)


def _class_hook(cls: type[Any], converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
    overrides = {
        name: override(struct_hook=_field_hook(attribute, converter))
        for name, attribute in attrs.fields_dict(attrs.resolve_types(cls)).items()
    }
    build = make_dict_structure_fn(
        cls,
        converter,
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
        **overrides,  # type: ignore[arg-type]
    )

    def hook(value: Any, kind: Any) -> Any:
        if not isinstance(value, dict):
            raise ValueError(f"must be a table, is {value!r}")
        return build(value, kind)

    return hook


def _field_hook(
    attribute: attrs.Attribute[Any], converter: cattrs.Converter
) -> Callable[[Any, Any], Any]:
    def hook(value: Any, kind: Any) -> Any:
        result = converter.structure(value, kind)
        if attribute.validator is not None:
            attribute.validator(None, attribute, result)
        return result

    return hook


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    converter.register_structure_hook(int, _strict(int, "a whole number"))
    converter.register_structure_hook(float, _strict(float, "a number"))
    converter.register_structure_hook(bool, _strict(bool, "true or false"))
    converter.register_structure_hook(str, _strict(str, "a string"))
    converter.register_structure_hook(Role, _role)
    converter.register_structure_hook(Address, lambda value, _: parse_address(value))
    converter.register_structure_hook_func(lambda kind: kind == Address | None, _optional_address)
    converter.register_structure_hook_factory(attrs.has, lambda cls: _class_hook(cls, converter))
    return converter


_CONVERTER = _make_converter()
