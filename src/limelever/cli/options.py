"""Options and arguments that several commands share, and how their texts are checked."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import typer

from limelever.common.errors import Failure
from limelever.protocol.keys import Key, parse_key
from limelever.source.request_records import position_of

SettingsOption = Annotated[
    Path, typer.Option("--settings", metavar="FILE", help="Settings file (TOML).")
]
SetOption = Annotated[
    list[str] | None,
    typer.Option("--set", metavar="KEY=VALUE", help="Goes over the settings file; repeatable."),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
DryRunOption = Annotated[bool, typer.Option(help="Show what would change and change nothing.")]
ExpectedOption = Annotated[
    int | None,
    typer.Option(min=0, metavar="N", help="Refuse unless the configuration version is N."),
]
RequestIdOption = Annotated[
    str,
    typer.Option(metavar="ID", help="Id of an earlier sending whose answer was lost."),
]


def parse_keys(texts: Sequence[str]) -> list[Key]:
    """Return the keys written as ``KIND/NAME``; a usage error when one is not."""
    keys: list[Key] = []
    for text in texts:
        key = parse_key(text)
        if isinstance(key, Failure):
            raise typer.BadParameter(key.reason)
        keys.append(key)
    return keys


def checked_request_id(text: str) -> str:
    """Return the request id as given, empty for none; a usage error when it is malformed."""
    if text and position_of(text) is None:
        raise typer.BadParameter("request id must be UNIQUE@POSITION, as an earlier sending's")
    return text
