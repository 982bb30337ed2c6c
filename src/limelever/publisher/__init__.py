"""The publishing end of configuration distribution, shared by source and relay."""
