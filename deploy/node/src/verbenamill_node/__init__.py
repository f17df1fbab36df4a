"""The daemon as it is started on the users' platform."""
