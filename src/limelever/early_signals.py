"""What a process does about signals before its event loop runs.

Imports next to nothing, so that it can be called before anything else is imported.
"""

from __future__ import annotations

import signal


def ignore_reload_signal() -> None:
    """Let SIGHUP pass until the event loop takes it; by default it would end the process.

    Nothing is missed by that: the settings are read later, and their file is watched from before
    they are read.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
