"""Rollouts: shifting a service's calls to another version, with automatic canary analysis."""
