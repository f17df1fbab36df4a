"""Entry point of the daemon on the users' platform."""
