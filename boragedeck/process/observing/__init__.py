"""What a process reports: logs, metrics, status and the time line."""
