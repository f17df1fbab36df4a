"""Which daemons there are, and what they tell each other."""
