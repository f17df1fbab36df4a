"""Admission of requests within the quotas of organisations."""
