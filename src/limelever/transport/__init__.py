"""Thin trio shells: connections, listeners, timers and disks around the sans-io cores."""
