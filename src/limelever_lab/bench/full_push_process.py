"""The process of the baseline: ``python -m limelever_lab.bench.full_push_process SETTINGS``."""

from __future__ import annotations

import random
import sys
from functools import partial
from pathlib import Path

import trio

from limelever.common.sansio import Purpose
from limelever.common.settings import SettingsProblems
from limelever.common.settings.reader import load_settings
from limelever.relay.settings import RelaySettings
from limelever.subscriber.settings import SubscriberSettings
from limelever.transport.process import ProcessShell, run_role
from limelever_lab.bench.full_push import FullPushCore

USAGE_STATUS = 2


def main(arguments: list[str]) -> int:
    """Run the baseline with a relay's settings until stopped; return the exit status."""
    settings = load_settings(Path(arguments[0]), RelaySettings)
    if isinstance(settings, SettingsProblems):
        for problem in settings.problems:
            sys.stderr.write(f"{problem}\n")
        return USAGE_STATUS
    return run_role(settings, partial(_main, settings))


async def _main(settings: RelaySettings, shell: ProcessShell) -> None:
    subscriber = SubscriberSettings(publishers=settings.sources, everything=True)
    core = FullPushCore(subscriber, random.Random())
    async with trio.open_nursery() as nursery:
        runner = shell.add_core(core, lambda _output: None, accepts=[Purpose.SUBSCRIPTION])
        shell.report_version(lambda: core.version)
        await nursery.start(runner.run)
        await shell.listen(settings.listen)
        shell.set_ready()
        await shell.stop_requested.wait()
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
