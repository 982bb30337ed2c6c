"""Plain HTTP requests of the launcher to admin listeners and stand-ins."""

from __future__ import annotations

import json
from typing import Any

import httpcore

TIMEOUT_SECONDS = 5.0
_TIMEOUT = {
    "timeout": dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_SECONDS),
}


def get_text(address: str) -> tuple[int, str]:
    """Return the HTTP status and body of an address; raises httpcore's network errors."""
    response = httpcore.request("GET", address, extensions=_TIMEOUT)
    return response.status, response.content.decode()


def get_json(address: str) -> Any:
    """Return the parsed JSON body of an address."""
    return json.loads(get_text(address)[1])


def post_json(address: str, value: object) -> Any:
    """Post a JSON value and return the parsed answer."""
    content = json.dumps(value).encode()
    response = httpcore.request("POST", address, content=content, extensions=_TIMEOUT)
    return json.loads(response.content)
