"""Serving system for long model generations on engines that can fail."""

import warnings

# Eventlet's deprecation warning is for developers, not for operators.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

__version__ = "0.1.0"
