"""Parsed TOML values into attrs classes by cattrs, strictly: no value is converted silently."""

from __future__ import annotations

import datetime
from collections.abc import Callable, Mapping
from types import GenericAlias
from typing import Any, TypeVar, get_args, get_origin

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn, override

from limelever.common.sansio import Address, Role
from limelever.common.settings.checks import parse_address

T = TypeVar("T")
_TOML_TYPES: dict[type, str] = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "a string",
    list: "a list",
    dict: "a table",
    datetime.datetime: "a date",
    datetime.date: "a date",
    datetime.time: "a time",
}


def structure(table: object, cls: type[T]) -> T:
    """Structure a parsed table into an attrs class; raises cattrs' validation errors."""
    return _CONVERTER.structure(table, cls)


def structure_field(value: object, attribute: attrs.Attribute[Any]) -> Any:
    """Structure and check the value of one key; raises cattrs' errors or ``ValueError``."""
    kind: Any = attribute.type
    result = _CONVERTER.structure(value, kind)
    if attribute.validator is not None:
        attribute.validator(None, attribute, result)
    return result


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


def toml_type(value: object) -> str:
    """Return what a value is called in TOML. The value itself may be a secret: it isn't shown."""
    return _TOML_TYPES.get(type(value), type(value).__name__)


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


def _require(value: object, kind: type) -> None:
    if type(value) is not kind:
        raise ValueError(f"must be {_TOML_TYPES[kind]}, is {toml_type(value)}")


def _strict(kind: type) -> Callable[[Any, Any], Any]:
    def hook(value: Any, _type: Any) -> Any:
        if kind is float and type(value) is int:
            return float(value)
        _require(value, kind)
        return value

    return hook


def _role(value: Any, _type: Any) -> Role:
    known = ", ".join(role.value for role in Role)
    if type(value) is not str:
        raise ValueError(f"must be one of {known}, is {toml_type(value)}")
    try:
        return Role(value)
    except ValueError:
        raise ValueError(f'must be one of {known}, is "{value}"') from None


def _is_literal(kind: Any) -> bool:
    return str(get_origin(kind)) == "typing.Literal"


def _literal(value: Any, kind: Any) -> Any:
    known = get_args(kind)
    if type(value) is not str or value not in known:
        shown = f'"{value}"' if type(value) is str else toml_type(value)
        raise ValueError(f"must be one of {', '.join(known)}, is {shown}")
    return value


def _is_list(kind: Any) -> bool:
    return get_origin(kind) is tuple


def _list_hook(kind: Any, converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
    items: Any = GenericAlias(list, get_args(kind)[0])

    def hook(value: Any, _type: Any) -> Any:
        _require(value, list)
        return tuple(converter.structure(value, items))

    return hook


def _is_mapping(kind: Any) -> bool:
    return get_origin(kind) is Mapping


def _mapping_hook(kind: Any, converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
    entries: Any = GenericAlias(dict, get_args(kind))

    def hook(value: Any, _type: Any) -> Any:
        _require(value, dict)
        return converter.structure(value, entries)

    return hook


def _class_hook(cls: type[Any], converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
    overrides = {
        name: override(struct_hook=_field_hook(attribute))
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
        _require(value, dict)
        return build(value, kind)

    return hook


def _field_hook(attribute: attrs.Attribute[Any]) -> Callable[[Any, Any], Any]:
    def hook(value: Any, _kind: Any) -> Any:
        return structure_field(value, attribute)

    return hook


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for kind in (int, float, bool, str):
        converter.register_structure_hook(kind, _strict(kind))
    converter.register_structure_hook(Role, _role)
    converter.register_structure_hook(Address, lambda value, _: parse_address(value))
    converter.register_structure_hook_func(
        lambda kind: kind == Address | None, lambda value, _: parse_address(value)
    )
    converter.register_structure_hook_func(_is_literal, _literal)
    converter.register_structure_hook_factory(_is_list, lambda kind: _list_hook(kind, converter))
    converter.register_structure_hook_factory(
        _is_mapping, lambda kind: _mapping_hook(kind, converter)
    )
    converter.register_structure_hook_factory(attrs.has, lambda cls: _class_hook(cls, converter))
    return converter


_CONVERTER = _make_converter()
