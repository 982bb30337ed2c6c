"""The process of hollow nodes: ``python -m limelever_lab.hollow.process SETTINGS``."""

from __future__ import annotations

import sys
from functools import partial
from pathlib import Path

import trio

from limelever.common.settings import SettingsProblems
from limelever.common.settings.reader import load_settings
from limelever.transport.process import ProcessShell, run_role
from limelever_lab.hollow.control import ControlServer
from limelever_lab.hollow.node_set import NodeSet
from limelever_lab.hollow.settings import HollowSettings

USAGE_STATUS = 2


def main(arguments: list[str]) -> int:
    """Run the nodes of a settings file until stopped; return the exit status."""
    settings = load_settings(Path(arguments[0]), HollowSettings)
    if isinstance(settings, SettingsProblems):
        for problem in settings.problems:
            sys.stderr.write(f"{problem}\n")
        return USAGE_STATUS
    return run_role(settings, partial(_main, settings))


async def _main(settings: HollowSettings, shell: ProcessShell) -> None:
    nodes = NodeSet(settings, shell.fail)
    control = ControlServer(nodes)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(control.serve, settings.control)
        nursery.start_soon(control.churn)
        await nodes.start(nursery)
        shell.set_ready()
        await shell.stop_requested.wait()
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
