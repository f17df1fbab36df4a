"""What operators have published, and who applies it."""
