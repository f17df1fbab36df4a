"""verbenamilld, the process beside each upstream."""
