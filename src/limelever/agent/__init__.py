"""The agent: a sidecar that registers one back end instance and queues calls to it."""
