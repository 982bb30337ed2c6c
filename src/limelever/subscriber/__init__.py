"""The subscribing end of configuration distribution, shared by relay, proxy and agent."""
