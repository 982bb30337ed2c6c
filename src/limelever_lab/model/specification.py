"""Common shape of a specification: typed states, labelled steps, named invariants."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Generic, NamedTuple, TypeVar

import minicheck

State = TypeVar("State", bound=tuple[Any, ...])


class Step(NamedTuple, Generic[State]):
    """One enabled action and the state it leads to."""

    label: str
    state: State


@dataclass(frozen=True)
class Variant:
    """A protocol with one mechanism switched off; the checker must refute it."""

    name: str
    fault: str


@dataclass(frozen=True)
class Specification(Generic[State]):
    """A finite state machine with its invariants, for one variant of one model.

    A witness is a situation that some reachable state must show, so that no invariant holds only
    because the model never gets there.
    """

    name: str
    initial: State
    steps: Callable[[State], Iterable[Step[State]]]
    invariants: Mapping[str, Callable[[State], bool]]
    witnesses: Mapping[str, Callable[[State], bool]]

    def protocol(self) -> "minicheck.Protocol":
        """Return the form the checker explores."""
        return minicheck.Protocol(
            name=self.name,
            candidate=True,
            fields=type(self.initial)._fields,  # type: ignore[attr-defined]
            initial=self.initial,
            transitions=self.steps,
            invariants={
                name: self._over_fields(predicate) for name, predicate in self.invariants.items()
            },
        )

    def _over_fields(
        self, predicate: Callable[[State], bool]
    ) -> Callable[[Mapping[str, Any]], bool]:
        """Adapt a predicate over the typed state to the checker's field mapping."""
        state_type = type(self.initial)
        return lambda fields: predicate(state_type(*fields.values()))


@dataclass(frozen=True)
class Model:
    """A named specification, its bounds, and the broken variants it must refute."""

    name: str
    bounds: str
    build: Callable[[str | None], Specification[Any]]
    variants: tuple[Variant, ...]


def replace_at(items: tuple[Any, ...], index: int, item: Any) -> tuple[Any, ...]:
    """Return a copy of a tuple with one position replaced."""
    return (*items[:index], item, *items[index + 1 :])
