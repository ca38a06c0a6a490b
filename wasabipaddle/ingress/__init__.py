"""Bounds on what the clients of a listener may hold of the process."""
