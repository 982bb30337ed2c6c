"""Randomized faults on real processes, with what must hold checked while they run."""
