"""How operators' commands reach the source: options that they share, and the client from them."""

from __future__ import annotations

import functools
import inspect
import os
from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager, closing
from pathlib import Path
from typing import Annotated, Any, get_type_hints

import typer
from msgspec import Struct

from limelever.cli.client import ClientOptions, OperatorClient
from limelever.common.sansio import Address
from limelever.common.settings import parse_address

ENDPOINTS_VARIABLE = "LIMELEVER_ENDPOINTS"
TOKEN_FILE_VARIABLE = "LIMELEVER_TOKEN_FILE"
CA_FILE_VARIABLE = "LIMELEVER_CA_FILE"
DEFAULT_TIMEOUT_SECONDS = 15.0

EndpointOption = Annotated[
    list[str] | None,
    typer.Option(
        "--endpoint",
        metavar="HOST:PORT",
        help=f"A source replica; repeatable. Else {ENDPOINTS_VARIABLE}, separated by commas.",
    ),
]
TokenFileOption = Annotated[
    Path | None,
    typer.Option(envvar=TOKEN_FILE_VARIABLE, help="File that holds the operator's token."),
]
CaFileOption = Annotated[
    Path | None,
    typer.Option(envvar=CA_FILE_VARIABLE, help="Authority's certificate; without it cleartext."),
]
TimeoutOption = Annotated[
    float, typer.Option(min=0.1, metavar="SECONDS", help="Limit for the whole command.")
]


class Connection(Struct, frozen=True):
    """What the command line says of the way to the source; ``timeout`` is in seconds."""

    endpoint: EndpointOption = None
    token_file: TokenFileOption = None
    ca_file: CaFileOption = None
    timeout: TimeoutOption = DEFAULT_TIMEOUT_SECONDS

    def open(self) -> AbstractContextManager[OperatorClient]:
        """Return a client, to be closed by ``with``; a usage error when an option is wrong."""
        given = self.endpoint or os.environ.get(ENDPOINTS_VARIABLE, "").split(",")
        addresses = _addresses(given)
        if not addresses:
            raise typer.BadParameter(f"give --endpoint or set {ENDPOINTS_VARIABLE}")
        if self.token_file is None:
            raise typer.BadParameter(f"give --token-file or set {TOKEN_FILE_VARIABLE}")
        authority = None if self.ca_file is None else _read(self.ca_file)
        token = _token(self.token_file)
        return closing(OperatorClient(ClientOptions(addresses, token, self.timeout, authority)))


def with_connection(command: Callable[..., int]) -> Callable[..., None]:
    """Let typer give ``command`` a :class:`Connection` first, from options added to its own.

    The result of ``command`` becomes the exit status.
    """
    own = inspect.signature(command)
    shared = inspect.signature(Connection).parameters
    hints = get_type_hints(command, include_extras=True)
    hints.update(get_type_hints(Connection, include_extras=True))

    @functools.wraps(command)
    def run(**arguments: Any) -> None:
        connection = Connection(**{name: arguments.pop(name) for name in shared})
        raise typer.Exit(command(connection, **arguments))

    _, *kept = own.parameters.values()
    parameters = [
        parameter.replace(annotation=hints[parameter.name], kind=inspect.Parameter.KEYWORD_ONLY)
        for parameter in (*kept, *shared.values())
    ]
    run.__signature__ = own.replace(parameters=parameters)  # type: ignore[attr-defined]
    run.__annotations__ = {parameter.name: parameter.annotation for parameter in parameters}
    return run


def _addresses(texts: Sequence[str]) -> tuple[Address, ...]:
    try:
        return tuple(parse_address(text.strip()) for text in texts if text.strip())
    except ValueError as error:
        raise typer.BadParameter(f"endpoint {error}") from error


def _token(path: Path) -> str:
    token = _read(path).decode(errors="replace").strip()
    if not token.isascii() or not token.isprintable() or not token:
        raise typer.BadParameter(f"{path} does not hold a token of printable ASCII")
    return token


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise typer.BadParameter(f"{path}: {error.strerror or error}") from error
