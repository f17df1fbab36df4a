"""HTTP/1.1 messages and connections over trio and httptools."""
