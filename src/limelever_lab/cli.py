"""``limelever-lab``: demonstration, simulator, model checker, experiments and stand-ins.

Only the module of the command that is run is imported, so that ``--help`` is quick and a stand-in
process carries no other command's libraries.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import typer


@dataclass(frozen=True, slots=True)
class LabCommand:
    """A command: its name, the ``module:function`` behind it, and a line of help."""

    name: str
    target: str
    help: str


COMMANDS = (
    LabCommand("demo", "limelever_lab.demo.command:demo", "Run a fleet and break it; a table."),
    LabCommand(
        "simulate",
        "limelever_lab.simulator.command:simulate",
        "Run the shipped cores under virtual time and faults, from a seed.",
    ),
    LabCommand(
        "check-model",
        "limelever_lab.model.command:check_model",
        "Check the specification of the core protocol.",
    ),
    LabCommand("bench", "limelever_lab.bench.command:bench", "Run an experiment."),
    LabCommand(
        "soak", "limelever_lab.soak.command:soak", "Break a fleet at random and check what holds."
    ),
    LabCommand(
        "upgrade",
        "limelever_lab.upgrade.command:upgrade",
        "Replace an earlier build by this one, machine by machine, and back.",
    ),
    LabCommand("report", "limelever_lab.reports.command:report", "Draw kept results."),
    LabCommand("docs-events", "limelever_lab.event_catalogue:docs_events", "Print docs/EVENTS.md."),
    LabCommand("backend", "limelever_lab.standins.commands:backend", "Run a back-end stand-in."),
    LabCommand(
        "platform-list",
        "limelever_lab.standins.commands:platform_list",
        "Run the platform's machine list.",
    ),
    LabCommand(
        "network", "limelever_lab.standins.commands:network", "Run slow TCP links that break."
    ),
    LabCommand(
        "links",
        "limelever_lab.links.command:links",
        "Short calls beside bodies on a machine's link, by the shipped credit core.",
    ),
    LabCommand(
        "timeline",
        "limelever_lab.timeline.command:timeline",
        "Steps of a recovery, from the logs of all processes.",
    ),
    LabCommand(
        "losses",
        "limelever_lab.losses.command:losses",
        "Where a day's worth was lost, from its report and logs.",
    ),
    LabCommand("callers", "limelever_lab.load.commands:callers", "Run callers against addresses."),
)

USAGE_STATUS = 2


def build_app(arguments: Sequence[str]) -> typer.Typer:
    """Return the application, with the real function for the command that is asked for."""
    app = typer.Typer(
        name="limelever-lab",
        help="Laboratory of limelever: demonstration, experiments and stand-ins.",
        no_args_is_help=True,
        add_completion=False,
    )
    for command in COMMANDS:
        chosen = bool(arguments) and arguments[0] == command.name
        function = load_function(command) if chosen else _placeholder
        app.command(command.name, help=command.help)(function)
    return app


def load_function(command: LabCommand) -> Callable[..., None]:
    """Import a command's function; one that is not there yet says so when it is run."""
    module_name, _, function_name = command.target.partition(":")
    try:
        module = importlib.import_module(module_name)
    except ModuleNotFoundError as error:
        if error.name is None or not module_name.startswith(error.name):
            raise
        return _missing(command)
    function: Callable[..., None] = getattr(module, function_name)
    return function


def _placeholder() -> None:
    raise typer.Exit(USAGE_STATUS)


def _missing(command: LabCommand) -> Callable[..., None]:
    def say_so() -> None:
        typer.echo(f"{command.name}: not part of this version", err=True)
        raise typer.Exit(USAGE_STATUS)

    return say_so


def main() -> None:
    """Run the command line."""
    build_app(sys.argv[1:])()


if __name__ == "__main__":
    main()
