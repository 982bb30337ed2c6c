"""Hollow nodes: the shipped proxy and agent cores on the real wire, many in one process."""
