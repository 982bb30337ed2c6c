"""Fleet-wide rate limits of tenants: admission decisions and call counts, without I/O."""
