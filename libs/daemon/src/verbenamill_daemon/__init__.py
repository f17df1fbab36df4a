"""verbenamilld, the daemon process that runs beside each upstream."""
