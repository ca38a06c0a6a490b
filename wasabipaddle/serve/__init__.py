"""Roles of an entry process, one plug-in per module, and their helpers."""

__all__ = []
