"""The agent beside a back end: registration, slots and fair shares."""
