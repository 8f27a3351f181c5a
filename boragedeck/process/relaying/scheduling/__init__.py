"""Order of waiting requests, and refusals, in pools whose requests have priorities."""
