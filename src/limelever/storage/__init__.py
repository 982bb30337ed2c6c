"""Durable storage: checksummed log and atomically replaced files."""
