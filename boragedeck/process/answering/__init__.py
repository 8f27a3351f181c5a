"""The answers that a router owns or copies, and the commands that it sends."""
