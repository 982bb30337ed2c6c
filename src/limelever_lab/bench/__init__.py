"""Experiments: convergence, control bytes, reconnect storms and recovery, beside a baseline."""
