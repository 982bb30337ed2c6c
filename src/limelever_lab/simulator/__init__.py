"""Deterministic simulator: the shipped cores under virtual time, faults from a seed, checkers."""
