"""Quotas of organisations over all daemons.

Each daemon owns an equal share of every quota and delegates it to a pool in its
zone, which grants tokens. Tokens are moved and never copied, so the sum over
all daemons stays bounded whatever is lost, late or restarted.
"""
