"""Specifications of the core protocol, checked exhaustively for small sizes."""
