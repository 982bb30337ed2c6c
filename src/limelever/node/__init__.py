"""The node process: a proxy and the agent of one back end in one process, for small deployments."""
