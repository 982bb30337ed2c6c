"""Starts the laboratory's stand-ins as processes for one scenario, and calls them."""

from pathlib import Path
from tempfile import TemporaryDirectory

import trio

from limelever_lab.fleet.deployment import load_deployment
from limelever_lab.fleet.http import get_json
from limelever_lab.fleet.ports import free_ports
from limelever_lab.fleet.processes import LabProcess, wait_until_listening
from limelever_lab.load.audit import audit, merge_counts
from limelever_lab.load.calls import ArrivalSettings, draw_calls
from limelever_lab.load.generator import LoadSettings, run_for
from limelever_lab.standins.runs import RunCounts

SEED = 1


def scratch(context):
    if not hasattr(context, "scratch"):
        folder = TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.scratch = Path(folder.name)
    return context.scratch


def start(context, name, *arguments, port):
    process = LabProcess(name, ("limelever-lab", *arguments), scratch(context))
    process.start()
    context.add_cleanup(process.end)
    wait_until_listening(port)
    return process


def start_back_ends(context, count, service, *more):
    context.service = service
    context.ports = free_ports(count)
    context.back_ends = [
        start(
            context,
            f"{service}-{number}",
            "backend",
            "--service",
            service,
            "--port",
            str(port),
            "--journal",
            str(scratch(context) / f"{service}-{number}.journal"),
            *more,
            port=port,
        )
        for number, port in enumerate(context.ports)
    ]


def run_calls(context, rate, duration, abandon_percent=0.0):
    classes = tuple(c for c in load_deployment("koszyk").calls if c.service == context.service)
    targets = tuple(f"http://127.0.0.1:{port}" for port in context.ports)
    settings = LoadSettings(targets, classes, ArrivalSettings(rate, SEED, abandon_percent))
    context.records = trio.run(run_for, settings, duration)
    runs = merge_counts(runs_of(port) for port in context.ports)
    context.audit = audit(context.records, runs)


def runs_of(port):
    value = get_json(f"http://127.0.0.1:{port}/runs")
    return RunCounts(value["by_call"], value["by_key"])


def one_call(context, port):
    settings = LoadSettings((f"http://127.0.0.1:{port}",), context.classes, ArrivalSettings(50, 1))
    call = next(draw_calls(settings.classes, 1, settings.arrivals))
    return trio.run(_make_one, settings, call)


async def _make_one(settings, call):
    import httpcore

    from limelever_lab.load.caller import Caller, CallerSettings

    async with httpcore.AsyncConnectionPool() as pool:
        patience = CallerSettings(patience=0.0)
        return await Caller(settings.targets, [pool], patience).make(call)
