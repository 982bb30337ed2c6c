"""The source of configuration: replicated log, state machine and operators' service."""
