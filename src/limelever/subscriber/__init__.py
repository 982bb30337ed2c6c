"""The subscriber side of configuration distribution, shared by relay, proxy and agent."""
