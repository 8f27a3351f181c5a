"""Serving system for long model generations on engines that can fail."""

__version__ = "0.1.0"
