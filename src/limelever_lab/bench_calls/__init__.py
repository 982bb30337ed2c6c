"""Experiments on the request path: what a call costs, and how groups share back ends."""
