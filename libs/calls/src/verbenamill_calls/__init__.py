"""Routing, admission, retries and deduplication of calls."""
