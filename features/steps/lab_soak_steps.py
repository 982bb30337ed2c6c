"""Steps for the plans of soaks, and the seeds that are kept."""

from __future__ import annotations

import random
import tempfile
from pathlib import Path

from behave import given, then
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st

from limelever_lab.fleet.faults import Fault
from limelever_lab.soak.command import KEPT_SEEDS_FILE, read_kept_seeds
from limelever_lab.soak.plan import (
    LINK_FAULTS,
    LONGEST_FAULT_SECONDS,
    PROCESS_FAULTS,
    SOURCE,
    draw_round,
)

SIZES = {"source": 3, "relay": 2, "proxy": 2, "agent": 4, "back end": 4}
CASES = settings(derandomize=True, max_examples=200, deadline=None, database=None)
ROOT = Path(__file__).resolve().parents[2]


def rounds(seed, count):
    source = random.Random(seed)
    return [draw_round(source, SIZES) for _ in range(count)]


@then(
    "no drawn round strikes a majority of the source, loses a disk beside another struck replica, "
    "or strikes one process twice"
)
def then_borne(_context):
    @CASES
    @examples(st.integers(0, 2**32), st.integers(1, 7))
    def check(seed, replicas):
        strikes = draw_round(random.Random(seed), {**SIZES, "source": replicas})
        struck = [(strike.role, strike.number) for strike in strikes]
        sources = [strike for strike in strikes if strike.role == SOURCE]
        assert len(set(struck)) == len(struck)
        assert len(sources) * 2 < replicas
        if any(strike.fault is Fault.FOLDER_LOST for strike in strikes):
            assert len(sources) == 1
        for strike in strikes:
            assert 0 < strike.until - strike.at <= LONGEST_FAULT_SECONDS

    check()


@then("{count:d} rounds of one seed are drawn alike, and otherwise than those of another")
def then_repeats(_context, count):
    assert rounds(1, count) == rounds(1, count)
    assert rounds(1, count) != rounds(2, count)


@then("{count:d} rounds strike every role, with every fault that a soak knows")
def then_all_drawn(_context, count):
    strikes = [strike for each in rounds(1, count) for strike in each]
    assert {strike.role for strike in strikes} == set(SIZES)
    known = {*PROCESS_FAULTS, *LINK_FAULTS, Fault.FOLDER_LOST}
    assert {strike.fault for strike in strikes} == known


@given('a file of kept seeds with the lines "{first}" and "{second}"')
def given_file(context, first, second):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = Path(folder.name) / "seeds.txt"
    context.file.write_text(f"{first}\n{second}\n")


@then('the kept seed {seed:d} of {deployment:w} has the cause "{cause}"')
def then_kept(context, seed, deployment, cause):
    (kept,) = read_kept_seeds(context.file)
    assert (kept.deployment, kept.seed, kept.cause) == (deployment, seed, cause)


@then('reading the kept seeds names the line "{line}"')
def then_damaged(context, line):
    try:
        read_kept_seeds(context.file)
    except ValueError as error:
        assert str(error).endswith(line), error
    else:
        raise AssertionError("the damaged line was taken")


@then("etc/soak-seeds.txt can be read")
def then_readable(_context):
    read_kept_seeds(ROOT / KEPT_SEEDS_FILE)
