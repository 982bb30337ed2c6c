"""The full command line, by typer: options, help and usage errors."""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from contextlib import closing
from pathlib import Path
from typing import Annotated

import typer

from limelever.cli import operator_commands
from limelever.cli.client import ClientOptions, OperatorClient
from limelever.cli.operator_commands import ApplyOptions
from limelever.cli.resource_files import read_resources
from limelever.cli.roles import (
    EXIT_REFUSED,
    RoleArguments,
    check_settings,
    print_problems,
    run_role,
)
from limelever.common.errors import Failure
from limelever.common.sansio import Role
from limelever.common.settings import SettingsProblems, parse_address
from limelever.protocol.config_pb2 import Batch
from limelever.protocol.keys import Key, parse_key
from limelever.source.request_records import position_of

ENDPOINTS_VARIABLE = "LIMELEVER_ENDPOINTS"
TOKEN_FILE_VARIABLE = "LIMELEVER_TOKEN_FILE"
CA_FILE_VARIABLE = "LIMELEVER_CA_FILE"
DEFAULT_TIMEOUT_SECONDS = 15.0
_ARTICLES = {Role.AGENT: "an"}

app = typer.Typer(
    help="Configuration distribution and fair request routing for a service mesh.",
    epilog="Exit status: 0 done, 1 refused, 2 wrong usage.",
    add_completion=False,
    pretty_exceptions_enable=False,
    no_args_is_help=True,
    rich_markup_mode=None,
)
settings_app = typer.Typer(
    help="Work with settings files.", no_args_is_help=True, rich_markup_mode=None
)
app.add_typer(settings_app, name="settings")

SettingsOption = Annotated[
    Path, typer.Option("--settings", metavar="FILE", help="Settings file (TOML).")
]
SetOption = Annotated[
    list[str] | None,
    typer.Option("--set", metavar="KEY=VALUE", help="Goes over the settings file; repeatable."),
]
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
KeysArgument = Annotated[list[str] | None, typer.Argument(metavar="KEY...")]


def _role_command(role: Role) -> Callable[..., None]:
    def run(settings: SettingsOption, overrides: SetOption = None) -> None:
        raise typer.Exit(run_role(RoleArguments(role, settings, tuple(overrides or ()))))

    run.__doc__ = (
        f"Run {_ARTICLES.get(role, 'a')} {role.value} until it is stopped.\n\n"
        f"Example: limelever {role.value} --settings {role.value}.toml --set zone=lodz-a"
    )
    return run


for _role in (Role.SOURCE, Role.RELAY, Role.PROXY, Role.AGENT):
    app.command(_role.value)(_role_command(_role))


@settings_app.command("check")
def settings_check(file: Path, overrides: SetOption = None) -> None:
    """List everything that is wrong with a settings file of any role.

    Example: limelever settings check etc/relay.toml
    """
    found = check_settings(file, overrides or ())
    if isinstance(found, SettingsProblems):
        print_problems(found)
        raise typer.Exit(EXIT_REFUSED)
    role, _ = found
    print(f"{file}: sound, role {role.value}")


@app.command()
def apply(
    file: Path,
    dry_run: DryRunOption = False,
    expected_version: ExpectedOption = None,
    request_id: RequestIdOption = "",
    as_json: JsonOption = False,
    endpoint: EndpointOption = None,
    token_file: TokenFileOption = None,
    ca_file: CaFileOption = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_SECONDS,
) -> None:
    """Apply the resources of a file, all or none of them.

    Example: limelever apply mesh.toml --dry-run

    Example: limelever apply mesh.toml --expected-version 41
    """
    options = ApplyOptions(dry_run, expected_version, _request_id(request_id), as_json)
    client = _client(endpoint, token_file, ca_file, timeout)
    batch = read_resources(file, os.environ)
    if isinstance(batch, SettingsProblems):
        print_problems(batch)
        raise typer.Exit(EXIT_REFUSED)
    with closing(client):
        raise typer.Exit(operator_commands.apply_batch(client, batch, options))


@app.command()
def delete(
    keys: Annotated[list[str], typer.Argument(metavar="KEY...")],
    dry_run: DryRunOption = False,
    expected_version: ExpectedOption = None,
    request_id: RequestIdOption = "",
    as_json: JsonOption = False,
    endpoint: EndpointOption = None,
    token_file: TokenFileOption = None,
    ca_file: CaFileOption = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_SECONDS,
) -> None:
    """Delete resources, all or none of them.

    Example: limelever delete route/orders share/orders/stores
    """
    options = ApplyOptions(dry_run, expected_version, _request_id(request_id), as_json)
    batch = Batch(delete=[key.to_message() for key in _keys(keys)])
    with closing(_client(endpoint, token_file, ca_file, timeout)) as client:
        raise typer.Exit(operator_commands.apply_batch(client, batch, options))


@app.command()
def get(
    keys: KeysArgument = None,
    as_json: JsonOption = False,
    endpoint: EndpointOption = None,
    token_file: TokenFileOption = None,
    ca_file: CaFileOption = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_SECONDS,
) -> None:
    """Print resources, or all of them; a secret's value is never shown.

    Example: limelever get service/orders route/orders --json
    """
    chosen = _keys(keys or ())
    with closing(_client(endpoint, token_file, ca_file, timeout)) as client:
        raise typer.Exit(operator_commands.get(client, chosen, as_json))


@app.command()
def rollout(
    version: Annotated[int, typer.Argument(min=0)],
    wait: Annotated[
        float | None,
        typer.Option(min=0, metavar="SECONDS", help="Wait; refused when it is not in force then."),
    ] = None,
    as_json: JsonOption = False,
    endpoint: EndpointOption = None,
    token_file: TokenFileOption = None,
    ca_file: CaFileOption = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_SECONDS,
) -> None:
    """Show where a version is in force, by zone.

    Example: limelever rollout 42 --wait 10
    """
    with closing(_client(endpoint, token_file, ca_file, timeout)) as client:
        raise typer.Exit(operator_commands.rollout(client, version, wait, as_json))


@app.command()
def status(
    as_json: JsonOption = False,
    endpoint: EndpointOption = None,
    token_file: TokenFileOption = None,
    ca_file: CaFileOption = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_SECONDS,
) -> None:
    """Show the replica that answers, its leader, members and relays.

    Example: limelever status --endpoint 10.0.0.1:7400
    """
    with closing(_client(endpoint, token_file, ca_file, timeout)) as client:
        raise typer.Exit(operator_commands.status(client, as_json))


def _client(
    endpoints: Sequence[str] | None, token_file: Path | None, ca_file: Path | None, timeout: float
) -> OperatorClient:
    given = endpoints or os.environ.get(ENDPOINTS_VARIABLE, "").split(",")
    addresses = tuple(_endpoint(text.strip()) for text in given if text.strip())
    if not addresses:
        raise typer.BadParameter(f"give --endpoint or set {ENDPOINTS_VARIABLE}")
    if token_file is None:
        raise typer.BadParameter(f"give --token-file or set {TOKEN_FILE_VARIABLE}")
    token = _read(token_file).decode(errors="replace").strip()
    if not token.isascii() or not token.isprintable() or not token:
        raise typer.BadParameter(f"{token_file} does not hold a token of printable ASCII")
    authority = None if ca_file is None else _read(ca_file)
    return OperatorClient(ClientOptions(addresses, token, timeout, authority))


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise typer.BadParameter(f"{path}: {error.strerror or error}") from error


def _endpoint(text: str) -> str:
    try:
        return str(parse_address(text))
    except ValueError as error:
        raise typer.BadParameter(f"endpoint {error}") from error


def _keys(texts: Sequence[str]) -> list[Key]:
    keys: list[Key] = []
    for text in texts:
        key = parse_key(text)
        if isinstance(key, Failure):
            raise typer.BadParameter(key.reason)
        keys.append(key)
    return keys


def _request_id(text: str) -> str:
    if text and position_of(text) is None:
        raise typer.BadParameter("request id must be UNIQUE@POSITION, as an earlier sending's")
    return text
