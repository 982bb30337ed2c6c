"""Launches a whole fleet of processes on loopback and breaks it on purpose."""
