"""Timeline of a recovery, from the log lines of all processes."""
