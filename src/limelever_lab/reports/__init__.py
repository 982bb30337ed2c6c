"""Drawings of the results that experiments keep as JSON."""
