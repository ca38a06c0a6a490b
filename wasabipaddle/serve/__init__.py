"""Roles of an entry process, one plug-in per module."""

__all__ = []
