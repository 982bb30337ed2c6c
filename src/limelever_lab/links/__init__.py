"""Experiment: short calls beside bodies and answers on one link, with the shipped cores."""
