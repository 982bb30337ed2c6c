"""The proxy: request routing, limits and retries."""
