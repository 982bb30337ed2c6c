"""Tracks requests that crash back ends, to quarantine them throughout the fleet."""
