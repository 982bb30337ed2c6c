"""Commands that drain a zone, withdraw its drain, and list the drains in effect."""

from __future__ import annotations

from typing import Annotated

import typer

from limelever.cli import zone_commands
from limelever.cli.connection import Connection, with_connection
from limelever.cli.options import JsonOption

zone_app = typer.Typer(
    help="Drain zones: calls go to other zones while a drain is in effect.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

ZoneArgument = Annotated[str, typer.Argument(metavar="ZONE")]


@zone_app.command()
@with_connection
def drain(connection: Connection, zone: ZoneArgument, as_json: JsonOption = False) -> int:
    """Drain a zone: no further call goes to its instances; running calls finish.

    Example: limelever zone drain lodz-a
    """
    with connection.open() as client:
        return zone_commands.drain(client, zone, as_json)


@zone_app.command()
@with_connection
def undrain(connection: Connection, zone: ZoneArgument, as_json: JsonOption = False) -> int:
    """Withdraw the drain of a zone: its instances are ramped up as new ones.

    Example: limelever zone undrain lodz-a
    """
    with connection.open() as client:
        return zone_commands.undrain(client, zone, as_json)


@zone_app.command("list")
@with_connection
def list_drains(connection: Connection, as_json: JsonOption = False) -> int:
    """Show the drains in effect: who ordered them, when, and where they are followed.

    Example: limelever zone list --json
    """
    with connection.open() as client:
        return zone_commands.list_drains(client, as_json)
