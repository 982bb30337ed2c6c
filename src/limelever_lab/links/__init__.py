"""Experiment: short calls beside bodies on one machine's link, with the shipped credit core."""
