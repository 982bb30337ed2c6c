"""The models that are checked, each with its bounds and its broken variants."""

from limelever_lab.model import claims, operator_writes, reader_floor, replacement, replication
from limelever_lab.model.replication import Bounds, Fault
from limelever_lab.model.specification import Model, Variant

ELECTIONS = Model(
    name="elections",
    bounds="3 replicas, 4 terms, log of 1 entry, any restarts",
    build=lambda variant: replication.build(
        "elections", Bounds(terms=4, log_length=1, losses=0), variant
    ),
    variants=(
        Variant(Fault.VOTE_NOT_SYNCED.value, "a restart forgets the vote of the term"),
        Variant(Fault.VOTE_FOR_SHORTER_LOG.value, "a vote ignores whose log is longer"),
        Variant(
            Fault.COMMIT_EARLIER_TERM.value,
            "a leader commits an earlier term's entry by counting its holders (Raft, figure 8)",
        ),
    ),
)

COMMITS = Model(
    name="commits",
    bounds="3 replicas, 3 terms, log of 2 entries, any restarts",
    build=lambda variant: replication.build(
        "commits", Bounds(terms=3, log_length=2, losses=0), variant
    ),
    variants=(
        Variant(Fault.ENTRY_NOT_SYNCED.value, "an entry is acknowledged before it is synced"),
    ),
)

LOST_DISK = Model(
    name="lost-disk",
    bounds="3 members and 1 learner, 2 terms, log of 4 entries, 2 lost disks, any restarts",
    build=lambda variant: replication.build(
        "lost-disk", Bounds(terms=2, log_length=4, losses=2), variant
    ),
    variants=(
        Variant(Fault.REJOIN_SAME_IDENTITY.value, "a lost disk returns under its old identity"),
        Variant(Fault.LEARNER_COUNTS.value, "a learner counts in place of the lost member at once"),
        Variant(
            Fault.CHANGES_OVERLAP.value, "a membership change does not wait for the one before"
        ),
    ),
)

MODELS = (
    ELECTIONS,
    COMMITS,
    LOST_DISK,
    replacement.MODEL,
    reader_floor.MODEL,
    operator_writes.MODEL,
    claims.MODEL,
)
