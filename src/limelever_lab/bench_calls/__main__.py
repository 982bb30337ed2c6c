"""``python -m limelever_lab.bench_calls``: the processes that the experiments start."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from typing import Annotated

import typer

from limelever.common.sansio import Address

MILLISECONDS = 1000.0
app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.command("fast-backend")
def fast_backend(
    port: Annotated[int, typer.Option()],
    service_ms: float = 0.0,
    slots: int = 1024,
    queue: int = 1024,
) -> None:
    """Run a back end that echoes bodies."""
    from limelever_lab.bench_calls.fast_backend import FastBackendSettings, serve_fast_backend
    from limelever_lab.standins.process import run_until_signal

    settings = FastBackendSettings(
        Address("127.0.0.1", port), service_ms / MILLISECONDS, slots, queue
    )
    run_until_signal(partial(serve_fast_backend, settings))


@app.command()
def profiled(role: str, settings: Path, output: Path) -> None:
    """Run a role of the system under a profiler until it is stopped."""
    from limelever_lab.bench_calls.profiled import run_profiled

    raise typer.Exit(run_profiled(role, settings, output))


if __name__ == "__main__":
    app()
