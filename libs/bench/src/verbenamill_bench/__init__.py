"""verbenamill-bench: demo, load and experiment tool."""
