"""Rate limits of tenants over all proxies together: pure decisions and counts."""
