"""Small stand-ins for the log, upstreams and callers."""
