"""Replication of the source's log by majority: sans-io, one module a duty."""
