"""Hooks of behave: known failures are passed over, and the probes get a fleet."""

from pathlib import Path

from limelever_lab.known_red import read_known_red

ROOT = Path(__file__).resolve().parents[1]
PROBES = ROOT / "features" / "probes"
PROBED_DEPLOYMENT = "koszyk"


def before_all(context):
    known_red = read_known_red(ROOT)
    if isinstance(known_red, str):
        raise ValueError(known_red)
    context.known_red = {known.test: known for known in known_red}


def before_feature(context, feature):
    if PROBES in Path(feature.filename).resolve().parents:
        from limelever_lab.fleet.probe import ProbedFleet

        context.probed_fleet = ProbedFleet(PROBED_DEPLOYMENT)
        context.add_cleanup(context.probed_fleet.close)
        context.probed_fleet.start()


def before_scenario(context, scenario):
    known = context.known_red.get(scenario.name)
    if known is not None:
        scenario.skip(f"known red: {known.cause} ({known.issue})")
