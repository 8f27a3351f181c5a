"""Small stand-ins for external systems, for tests and demonstrations."""

from boragedeck.patching import patch_all

# The programs are run with ``python -m``, which imports this package first.
patch_all()
