"""Membership and dissemination between daemons."""
