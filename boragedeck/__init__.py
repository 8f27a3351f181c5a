"""Serving system for long model generations on engines that can fail."""

import warnings

# The advice to leave eventlet is for developers, not for who runs the programs.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

__version__ = "0.1.0"
