"""Mirrors of the platform's tables, and how old they are."""
