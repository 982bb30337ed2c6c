"""The publisher side of configuration distribution, shared by source and relay."""
