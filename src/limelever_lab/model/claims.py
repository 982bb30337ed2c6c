"""Specification of at-most-once claims held by a majority of three keepers.

Every claimant wants to hand on the same call (one idempotency key), each with a token of its own.
A keeper syncs the first token it grants. A keeper that lost its disk answers nothing until every
claim it may have granted before has ended and it has copied from all others; copying is not atomic.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from limelever_lab.model.specification import Model, Specification, Step, Variant, replace_at

KEEPERS = 3
CLAIMANTS = 3
CLAIMANTS_IN_VARIANTS = 2
LOSSES = 2
QUORUM = KEEPERS // 2 + 1
NO_TOKEN = 0
REFUSES_ALL = -1


class Fault(enum.Enum):
    """Mechanisms that a broken variant switches off."""

    GRANT_NOT_SYNCED = "grant-not-synced"
    REJOIN_WITHOUT_COPY = "rejoin-without-copy"
    REJOIN_COPIES_ONE = "rejoin-copies-one"
    REJOIN_WITHOUT_WAIT = "rejoin-without-wait"
    RELEASED_AFTER_HAND_ON = "released-after-hand-on"
    LATER_TOKEN_REPLACES = "later-token-replaces"


class Phase(enum.IntEnum):
    """How far a claimant has come."""

    CLAIMING = 0
    HANDED_ON = 1
    RELEASED = 2
    ENDED = 3


class Keeper(NamedTuple):
    """The token a keeper holds on disk, and whom it still has to copy from when rejoining."""

    token: int
    rejoining: bool
    copied: int


class Claimant(NamedTuple):
    """A claimant's phase and the keepers that granted its token."""

    phase: Phase
    granted: int


class Claims(NamedTuple):
    """Keepers, claimants, how often the call was handed on, and disks lost."""

    keepers: tuple[Keeper, ...]
    claimants: tuple[Claimant, ...]
    handed_on: int
    losses: int


def build(variant: str | None) -> Specification[Claims]:
    """Return the specification for a variant, or the true protocol for None."""
    rules = Rules(None if variant is None else Fault(variant))
    return Specification(
        name="claims",
        initial=initial_claims(CLAIMANTS if variant is None else CLAIMANTS_IN_VARIANTS),
        steps=rules.steps,
        invariants={"handed on at most once": handed_on_at_most_once},
        witnesses={
            "call handed on after a release": handed_on_after_release,
            "second disk lost after the first was repaired": second_loss_after_repair,
            "rejoined keeper refuses all": (
                lambda claims: any(keeper.token == REFUSES_ALL for keeper in claims.keepers)
            ),
        },
    )


def initial_claims(claimants: int) -> Claims:
    """No keeper holds a token and every claimant is about to claim."""
    keepers = (Keeper(NO_TOKEN, False, 0),) * KEEPERS
    return Claims(keepers, (Claimant(Phase.CLAIMING, 0),) * claimants, 0, 0)


def handed_on_at_most_once(claims: Claims) -> bool:
    """A call that may not be repeated is handed to a back end at most once."""
    return claims.handed_on <= 1


def handed_on_after_release(claims: Claims) -> bool:
    """Whether one claimant released its claim and another handed the call on."""
    phases = {claimant.phase for claimant in claims.claimants}
    return {Phase.RELEASED, Phase.HANDED_ON} <= phases


def second_loss_after_repair(claims: Claims) -> bool:
    """Whether two disks were lost, one after the other, and no keeper is rejoining."""
    return claims.losses == 2 and not any(keeper.rejoining for keeper in claims.keepers)


class Rules:
    """The actions of claimants and keepers."""

    def __init__(self, fault: Fault | None) -> None:
        self._fault = fault

    def steps(self, claims: Claims) -> Iterator[Step[Claims]]:
        """Yield every enabled action."""
        for index in range(len(claims.claimants)):
            yield from self._claimant_steps(claims, index)
        for index, keeper in enumerate(claims.keepers):
            yield from self._keeper_steps(claims, index, keeper)

    def _claimant_steps(self, claims: Claims, index: int) -> Iterator[Step[Claims]]:
        claimant = claims.claimants[index]
        if claimant.phase is Phase.CLAIMING:
            yield from self._claim(claims, index)
            yield from self._hand_on(claims, index)
            yield Step(f"end({index})", with_phase(claims, index, Phase.ENDED))
            yield Step(f"release({index})", with_phase(claims, index, Phase.RELEASED))
        if claimant.phase is Phase.HANDED_ON and self._fault is Fault.RELEASED_AFTER_HAND_ON:
            yield Step(f"release({index})", with_phase(claims, index, Phase.RELEASED))

    def _claim(self, claims: Claims, index: int) -> Iterator[Step[Claims]]:
        """A keeper grants the first token it sees, and the same token again."""
        token = index + 1
        for keeper_index, keeper in enumerate(claims.keepers):
            free = keeper.token in (NO_TOKEN, token) or self._fault is Fault.LATER_TOKEN_REPLACES
            if keeper.rejoining or not free:
                continue
            granted = claims.claimants[index].granted | 1 << keeper_index
            after = with_grants(claims, index, granted)
            after = with_keeper(after, keeper_index, keeper._replace(token=token))
            if after != claims:
                yield Step(f"grant({keeper_index} to {index})", after)
            lost = with_keeper(claims, keeper_index, keeper._replace(token=token))
            if lost != claims:
                yield Step(f"grant({keeper_index} to {index}, answer lost)", lost)

    def _hand_on(self, claims: Claims, index: int) -> Iterator[Step[Claims]]:
        """A claimant granted by a majority hands the call on, within the claim window."""
        if claims.claimants[index].granted.bit_count() >= QUORUM:
            after = with_phase(claims, index, Phase.HANDED_ON)
            yield Step(f"hand_on({index})", after._replace(handed_on=claims.handed_on + 1))

    def _keeper_steps(self, claims: Claims, index: int, keeper: Keeper) -> Iterator[Step[Claims]]:
        yield from self._accept_release(claims, index, keeper)
        if claims.losses < LOSSES:
            after = with_keeper(claims, index, Keeper(NO_TOKEN, True, 0))
            yield Step(f"lose_disk({index})", after._replace(losses=claims.losses + 1))
        if keeper.rejoining:
            yield from self._rejoin(claims, index, keeper)
        elif self._fault is Fault.GRANT_NOT_SYNCED and keeper.token != NO_TOKEN:
            restarted = keeper._replace(token=NO_TOKEN)
            yield Step(f"restart({index})", with_keeper(claims, index, restarted))

    def _accept_release(self, claims: Claims, index: int, keeper: Keeper) -> Iterator[Step[Claims]]:
        """A keeper drops a token once its owner released it; the message may come late."""
        if keeper.token <= NO_TOKEN or keeper.rejoining:
            return
        if claims.claimants[keeper.token - 1].phase is Phase.RELEASED:
            free = keeper._replace(token=NO_TOKEN)
            yield Step(f"accept_release({index})", with_keeper(claims, index, free))

    def _rejoin(self, claims: Claims, index: int, keeper: Keeper) -> Iterator[Step[Claims]]:
        """Copy from every other keeper after the wait, then answer again."""
        if not self._window_over(claims, index):
            return
        others = ((1 << KEEPERS) - 1) & ~(1 << index)
        if self._copied_enough(keeper.copied, others):
            done = keeper._replace(rejoining=False, copied=0)
            yield Step(f"rejoin({index})", with_keeper(claims, index, done))
        for source, other in enumerate(claims.keepers):
            if source == index or other.rejoining or keeper.copied >> source & 1:
                continue
            copy = Keeper(
                merged_token(keeper.token, other.token), True, keeper.copied | 1 << source
            )
            yield Step(f"copy({index} from {source})", with_keeper(claims, index, copy))

    def _window_over(self, claims: Claims, index: int) -> bool:
        """Whether every claim this keeper may have granted before has ended."""
        if self._fault is Fault.REJOIN_WITHOUT_WAIT:
            return True
        return not any(
            claimant.phase is Phase.CLAIMING and claimant.granted >> index & 1
            for claimant in claims.claimants
        )

    def _copied_enough(self, copied: int, others: int) -> bool:
        if self._fault is Fault.REJOIN_WITHOUT_COPY:
            return True
        if self._fault is Fault.REJOIN_COPIES_ONE:
            return copied != 0
        return copied == others


def merged_token(first: int, second: int) -> int:
    """Return what a rejoining keeper holds after two copies; two tokens refuse all."""
    if NO_TOKEN in (first, second):
        return first or second
    return first if first == second else REFUSES_ALL


def with_keeper(claims: Claims, index: int, keeper: Keeper) -> Claims:
    """Return the claims with one keeper replaced."""
    return claims._replace(keepers=replace_at(claims.keepers, index, keeper))


def with_grants(claims: Claims, index: int, granted: int) -> Claims:
    """Return the claims with one claimant's grants changed."""
    claimant = claims.claimants[index]._replace(granted=granted)
    return claims._replace(claimants=replace_at(claims.claimants, index, claimant))


def with_phase(claims: Claims, index: int, phase: Phase) -> Claims:
    """Return the claims with one claimant past claiming; its grants no longer matter."""
    return claims._replace(claimants=replace_at(claims.claimants, index, Claimant(phase, 0)))


MODEL = Model(
    name="claims",
    bounds=(
        f"{KEEPERS} keepers, {CLAIMANTS} claimants of one key "
        f"({CLAIMANTS_IN_VARIANTS} in variants), {LOSSES} lost disks"
    ),
    build=build,
    variants=(
        Variant(Fault.GRANT_NOT_SYNCED.value, "a keeper forgets its grant in a restart"),
        Variant(Fault.REJOIN_WITHOUT_COPY.value, "a keeper rejoins empty"),
        Variant(Fault.REJOIN_COPIES_ONE.value, "a keeper copies from one other only"),
        Variant(Fault.REJOIN_WITHOUT_WAIT.value, "a keeper rejoins within the claim window"),
        Variant(Fault.RELEASED_AFTER_HAND_ON.value, "a claim is released after it was handed on"),
        Variant(Fault.LATER_TOKEN_REPLACES.value, "a keeper grants a later token as well"),
    ),
)
