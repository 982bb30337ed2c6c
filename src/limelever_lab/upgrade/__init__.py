"""Replaces the build of a running fleet, one process after the other, forward and back."""
