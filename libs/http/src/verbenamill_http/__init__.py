"""HTTP/1.1 clients and servers on top of trio and httptools."""
