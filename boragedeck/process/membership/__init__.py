"""Which routers there are, and the facts that they tell each other."""
