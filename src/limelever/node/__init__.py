"""The node process: a proxy and the agent of one back end together, for small sites."""
