"""Requests under which upstreams crash."""
