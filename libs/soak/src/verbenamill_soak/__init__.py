"""Runs daemon processes under injected faults and checks their guarantees."""
