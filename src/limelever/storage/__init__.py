"""Checksummed log, atomic files, data folder lock."""
