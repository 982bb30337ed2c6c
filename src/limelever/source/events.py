"""Numbered log events of the source: 2000 to 2499."""

from __future__ import annotations

from limelever.common.events import Level, define

DISK_FORMATTED = define(
    2000, "disk-formatted", Level.INFO, "empty disk formatted", "identity", "bootstrap"
)
JOIN_WAITING = define(
    2001, "join-waiting", Level.INFO, "empty disk, asking the peers what they hold", "name"
)
ELECTION_STARTED = define(2010, "election-started", Level.INFO, "election started", "term")
LEADER_ELECTED = define(2011, "leader-elected", Level.INFO, "this replica leads", "term")
LEADER_STEPPED_DOWN = define(
    2012, "leader-stepped-down", Level.WARNING, "this replica leads no more", "term", "reason"
)
LEADER_FOLLOWED = define(2013, "leader-followed", Level.INFO, "following", "leader", "term")
LOG_CUT = define(
    2014, "log-cut", Level.INFO, "entries that were never committed cut", "from_index", "term"
)
FOLLOWER_ROLLED_BACK = define(
    2015,
    "follower-rolled-back",
    Level.ERROR,
    "a follower lost entries that it had synced; they are sent again",
    "identity",
    "synced",
    "held",
)
LEADERSHIP_HANDED_OVER = define(
    2016, "leadership-handed-over", Level.INFO, "another replica is asked to lead", "successor"
)
LEADER_MISSING = define(
    2017,
    "leader-missing",
    Level.WARNING,
    "no leader is known, and too few voters support an election",
    "supporters",
    "voters",
    "links",
    "term",
    "last_index",
    "last_term",
)
SNAPSHOT_TAKEN = define(2020, "snapshot-taken", Level.INFO, "snapshot taken", "index")
SNAPSHOT_INSTALLED = define(
    2021, "snapshot-installed", Level.INFO, "snapshot of the leader installed", "index", "leader"
)
MEMBERS_CHANGED = define(
    2030, "members-changed", Level.INFO, "member set committed", "index", "voters", "learners"
)
REPLICA_REMOVED = define(
    2031, "replica-removed", Level.WARNING, "this identity is no member any more", "identity"
)
REPLICA_REJOINS = define(
    2033,
    "replica-rejoins",
    Level.WARNING,
    "the group went on without this replica, which asks to join under a new identity",
    "former",
    "identity",
    "committed_term",
    "committed_index",
)
ZONE_DRAIN_ORDERED = define(
    6120,
    "zone-drain-ordered",
    Level.INFO,
    "order to drain a zone was committed",
    "zone",
    "version",
    "ordered_by",
)
ZONE_DRAIN_WITHDRAWN = define(
    6121,
    "zone-drain-withdrawn",
    Level.INFO,
    "withdrawal of a zone's drain was committed",
    "zone",
    "version",
)
GROUP_LEVEL_CHANGED = define(
    2034,
    "group-level-changed",
    Level.INFO,
    "feature level that all members of the group have stated",
    "index",
    "level",
)
MEMBER_BELOW_LEVEL = define(
    2035,
    "member-below-level",
    Level.ERROR,
    "a member's build doesn't read a record of the log and is sent nothing",
    "identity",
    "stated",
    "level",
)
JOIN_BELOW_LEVEL = define(
    2036,
    "join-below-level",
    Level.WARNING,
    "join from a build that doesn't read a record of the log",
    "name",
    "stated",
    "level",
)
JOIN_REFUSED = define(
    2032, "join-refused", Level.WARNING, "join from a name outside the settings", "name"
)
