"""The control process: a source replica and a relay together, for small sites."""
