"""Plans of a round: each struck machine has a series of steps, and the series overlap."""

from __future__ import annotations

import random
from dataclasses import dataclass

from strike_log import KILL, PAUSE, RELOAD, SETTINGS, START, STOP

WAIT_STOPPED, RESUME = "wait until stopped", "SIGCONT"
TOLERATED = 2
"""Control machines that are struck at a time: what a group of five bears."""

LONGEST_SERIES = 3
LONGEST_SCATTER_SECONDS = 4.0
LONGEST_DOWN_SECONDS = 1.5
LARGEST_PART_OF_NODES = 0.75
SHARE_OF_UNPLANNED_ROUNDS = 0.25
SHARE_OF_RELEASES = 0.25
BETWEEN_TURNS_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Step:
    """Something done to a machine, ``after`` seconds from the step before."""

    after: float
    what: str
    machine: int


@dataclass(frozen=True, slots=True)
class Series:
    """Steps one after the other; a machine's number counts within its role."""

    is_control: bool
    steps: tuple[Step, ...]


class Plans:
    """Draws the rounds of a seed."""

    def __init__(self, seed: int, control: int, nodes: int) -> None:
        self._draw = random.Random(f"plans-{seed}")
        self._control, self._nodes = control, nodes

    def next(self) -> list[Series]:
        """Return the series of a round; at most ``TOLERATED`` are of control machines."""
        draw = self._draw
        unplanned = draw.random() < SHARE_OF_UNPLANNED_ROUNDS
        if draw.random() < SHARE_OF_RELEASES:
            nodes = [self._release(False, draw.sample(range(self._nodes), self._most_nodes()))]
        else:
            nodes = self._nodes_at_once(unplanned)
        return [*self._control_series(unplanned), *nodes]

    def _most_nodes(self) -> int:
        return max(1, int(self._nodes * LARGEST_PART_OF_NODES))

    def _nodes_at_once(self, unplanned: bool) -> list[Series]:
        """Return series of some nodes: the same for all at once, or each its own."""
        draw = self._draw
        struck = draw.sample(range(self._nodes), draw.randint(1, self._most_nodes()))
        scatter = draw.choice((0.0, LONGEST_SCATTER_SECONDS))
        if draw.random() < 0.5:
            steps = draw.choice(PLANNED)(draw)
            return [Series(False, tuple(Step(*each, node) for each in steps)) for node in struck]
        return [self._one(False, node, draw.uniform(0.0, scatter), unplanned) for node in struck]

    def _control_series(self, unplanned: bool) -> list[Series]:
        draw = self._draw
        struck = draw.sample(range(self._control), draw.randint(0, TOLERATED))
        if draw.random() < SHARE_OF_RELEASES:
            return [self._release(True, range(self._control))]
        scatter = draw.choice((0.0, LONGEST_SCATTER_SECONDS))
        return [self._one(True, each, draw.uniform(0.0, scatter), unplanned) for each in struck]

    def _one(self, is_control: bool, machine: int, after: float, unplanned: bool) -> Series:
        draw, steps = self._draw, []
        patterns = (*PLANNED, *UNPLANNED) if unplanned else PLANNED
        for _ in range(draw.randint(1, LONGEST_SERIES)):
            for wait, what in draw.choice(patterns)(draw):
                steps.append(Step(after + wait, what, machine))
                after = 0.0
            after = draw.uniform(0.0, LONGEST_SCATTER_SECONDS)
        return Series(is_control, tuple(steps))

    def _release(self, is_control: bool, machines) -> Series:
        """Return a series in which machines stop and start by turns."""
        down = self._draw.uniform(0.0, LONGEST_DOWN_SECONDS)
        return Series(
            is_control,
            tuple(
                step
                for machine in machines
                for step in (
                    Step(BETWEEN_TURNS_SECONDS, STOP, machine),
                    Step(0.0, WAIT_STOPPED, machine),
                    Step(down, START, machine),
                )
            ),
        )


def _ended(draw: random.Random, *within: tuple[float, str]):
    """Return a stop with other steps within it, and the start after it."""
    down = draw.uniform(0.0, LONGEST_DOWN_SECONDS) if draw.random() < 0.5 else 0.0
    return [(0.0, STOP), *within, (0.0, WAIT_STOPPED), (down, START)]


def stop(draw: random.Random):
    """SIGTERM."""
    return _ended(draw)


def stop_and_reload(draw: random.Random):
    """SIGHUP, settings files too, during a stop."""
    return _ended(draw, *[(draw.uniform(0.0, 1.5), RELOAD) for _ in range(draw.randint(1, 3))])


def stop_twice(draw: random.Random):
    """SIGTERM during a stop."""
    return _ended(draw, *[(draw.uniform(0.0, 2.5), STOP) for _ in range(draw.randint(1, 2))])


def stop_at_start(draw: random.Random):
    """SIGTERM shortly after a start."""
    return [*_ended(draw), (draw.uniform(0.0, 0.8), STOP), (0.0, WAIT_STOPPED), (0.0, START)]


def stop_again(draw: random.Random):
    """SIGTERM as soon as a machine is back."""
    return [*_ended(draw), (draw.uniform(0.8, 3.0), STOP), (0.0, WAIT_STOPPED), (0.0, START)]


def reload_in_series(draw: random.Random):
    """SIGHUP many times."""
    return [(draw.uniform(0.0, 0.4), RELOAD) for _ in range(draw.randint(2, 8))]


def settings_alone(draw: random.Random):
    """A settings file changed without a signal."""
    return [(draw.uniform(0.0, 0.5), SETTINGS) for _ in range(draw.randint(1, 3))]


def settings_and_reload(draw: random.Random):
    """A settings file changed, with the signal at once or later."""
    return [(0.0, SETTINGS), (draw.uniform(0.0, 0.3), RELOAD)]


def settings_and_stop(draw: random.Random):
    """A settings file changed, and SIGTERM while it is read."""
    return [(0.0, SETTINGS), (0.0, RELOAD), (draw.uniform(0.0, 0.1), STOP), *_ended(draw)[1:]]


def kill(draw: random.Random):
    """SIGKILL, at times during a stop."""
    during = [(0.0, STOP), (draw.uniform(0.0, 2.0), KILL)] if draw.random() < 0.5 else [(0.0, KILL)]
    return [*during, (draw.uniform(0.0, 3.0), START)]


def pause(draw: random.Random):
    """SIGSTOP, and on again."""
    return [(0.0, PAUSE), (draw.uniform(0.2, 4.0), RESUME)]


PLANNED = (
    stop,
    stop_and_reload,
    stop_twice,
    stop_at_start,
    stop_again,
    reload_in_series,
    settings_alone,
    settings_and_reload,
    settings_and_stop,
)
UNPLANNED = (kill, pause)
