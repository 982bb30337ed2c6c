"""Checks of single values: attrs validators, and the form of addresses."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from limelever.common.sansio import Address

_LARGEST_PORT = 65535


class Between(Struct, frozen=True):
    """An attrs validator for a closed range."""

    low: float
    high: float

    def __call__(self, _instance: Any, _attribute: Any, value: Any) -> None:
        """Raise ``ValueError`` for a value outside the range, also for NaN."""
        if not self.low <= value <= self.high:
            raise ValueError(f"must be between {self.low} and {self.high}, is {value}")


def between(low: float, high: float) -> Between:
    """Return an attrs validator for a closed range."""
    return Between(low, high)


def not_empty(_instance: Any, _attribute: Any, value: Any) -> None:
    """Check that a string or list is not empty (an attrs validator)."""
    if not value:
        raise ValueError("must not be empty")


def named_values(_instance: Any, _attribute: Any, value: Any) -> None:
    """Check that neither a name nor a value of a mapping is empty (an attrs validator)."""
    if not all(name and item for name, item in value.items()):
        raise ValueError("must not hold an empty name or value")


def distinct(_instance: Any, _attribute: Any, value: Any) -> None:
    """Check that a list names nothing twice (an attrs validator)."""
    if len(set(value)) != len(value):
        raise ValueError("must not name anything twice")


def dialled(_instance: Any, _attribute: Any, value: Any) -> None:
    """Check that an address, or each of a list, can be dialled (an attrs validator)."""
    if value is None:
        return
    addresses = (value,) if isinstance(value, Address) else value
    for address in addresses:
        if address.port == 0:
            raise ValueError(f"{address} can't be dialled: its port is 0")


def parse_address(text: object) -> Address:
    """Parse ``host:port``; raise ``ValueError`` with the reason."""
    if not isinstance(text, str):
        raise ValueError('must be a string "host:port"')
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isascii() or not port.isdigit():
        raise ValueError(f'must be "host:port", is "{text}"')
    if len(port) > len(str(_LARGEST_PORT)) or int(port) > _LARGEST_PORT:
        raise ValueError(f"port must be between 0 and {_LARGEST_PORT}, is {port}")
    return Address(host.strip("[]"), int(port))


def is_address(text: str) -> bool:
    """Return whether ``text`` is an address as :func:`parse_address` takes it."""
    try:
        parse_address(text)
    except ValueError:
        return False
    return True
