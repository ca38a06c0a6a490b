"""Validated changes of the faults of a stand-in."""

import enum

import attrs

__all__ = ["change_faults"]


def change_faults(faults, changes):
    """Set the faults of a stand-in; an invalid change leaves all of them unchanged.

    Parameters
    ----------
    faults : attrs instance
        Faults of one stand-in.
    changes : dict of str to value
        New values by the name of the fault.

    Raises
    ------
    ValueError
        If a fault does not exist or its value has the wrong type.
    """
    fields = attrs.fields_dict(type(faults))
    checked = {}
    for name, value in changes.items():
        if name not in fields:
            raise ValueError(f"{type(faults).__name__} has no fault {name}")
        expected = fields[name].type
        if expected is float and type(value) is int:
            value = float(value)
        if isinstance(value, str) and not isinstance(value, expected):
            value = _parse(expected, value)
        if not isinstance(value, expected):
            raise ValueError(f"fault {name} takes a {expected.__name__}")
        checked[name] = value
    for name, value in checked.items():
        setattr(faults, name, value)


def _parse(expected, text):
    """Return the enumeration member with a value, or None for any other type."""
    return expected(text) if issubclass(expected, enum.Enum) else None
