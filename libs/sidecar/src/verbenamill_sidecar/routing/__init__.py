"""How a request gets from its caller to an owner and back."""
