"""Rollouts: moving a service's calls to the back ends of another version, judged by the fleet."""
