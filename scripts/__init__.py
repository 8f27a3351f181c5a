"""Development scripts, which may start processes."""
