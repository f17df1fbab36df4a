"""verbenamill, the operators' command line."""
