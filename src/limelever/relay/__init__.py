"""Relays: configuration and endpoint distribution within a zone."""
