"""The proxy beside each service: routes, limits and retries the calls of its callers."""
