"""Further finding, no case: a core whose processes are killed in their first start never begins.

Exits with 1 if no configuration is acknowledged within ``WAIT_SECONDS``, 0 if one is; TROUBLE=0
leaves out the kill.
"""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from core_machines import Core, Operator, Record  # noqa: E402

CONTACT_SECONDS = 3.0
"""``contactMs``: how long after the kill the core counts as stable again."""

WAIT_SECONDS = 30.0
"""Far beyond ``ackMs``, 4 s."""


def play(core: Core, operator: Operator, record: Record, *, trouble: bool) -> bool:
    """Play it; return whether the operator's first configuration was acknowledged."""
    core.start()
    if trouble:
        while not any(machine.starts() for machine in core.machines):
            time.sleep(0.002)
        for machine in core.machines:
            machine.kill()
        record.note("all processes of the core are killed")
        time.sleep(0.5)
        for machine in core.machines:
            core.restart(machine)
        record.note("all processes of the core are started again")
    time.sleep(CONTACT_SECONDS)
    return operator.change(core.machines, WAIT_SECONDS)


def main() -> int:
    """Run it and say how it ended."""
    record = Record(HERE / "record.txt")
    core = Core(record)
    try:
        trouble = os.environ.get("TROUBLE", "1") != "0"
        acknowledged = play(core, Operator(record), record, trouble=trouble)
    finally:
        core.close()
    record.note("acknowledged" if acknowledged else "never acknowledged")
    print("acknowledged" if acknowledged else "never acknowledged")
    return 0 if acknowledged else 1


if __name__ == "__main__":
    sys.exit(main())
