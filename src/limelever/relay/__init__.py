"""Relays: distribute configuration, endpoints and usage data within a zone."""
