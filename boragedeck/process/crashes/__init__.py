"""Which requests crash upstreams, and how suspects are kept apart."""
