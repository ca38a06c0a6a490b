"""Parsing of quantities with units."""

import math
import re

import attrs

__all__ = ["UNIT_RULES", "UnitRule", "parse_quantity", "rule_for"]

QUANTITY = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,9})?)\s?([A-Za-z/]*)")


@attrs.frozen(kw_only=True)
class UnitRule:
    """Rule by which a field with a unit suffix is written in YAML.

    Parameters
    ----------
    suffix : str
        Suffix of the field name in the `attrs` class.
    units : dict of str to float
        Factor from each accepted unit to the unit of the field.
    keep_suffix : bool
        Whether the YAML key keeps the suffix.
    allowed : str
        Description of the accepted forms, for error messages.
    """

    suffix: str
    units: dict
    allowed: str
    keep_suffix: bool = False

    def key_of(self, field_name) -> str:
        """Return the YAML key of a field."""
        return field_name if self.keep_suffix else field_name[: -len(self.suffix)]


SECONDS = {"ms": 0.001, "s": 1, "m": 60, "min": 60, "h": 3600, "d": 86_400}
BYTES = {
    "B": 1,
    "kB": 1_000,
    "MB": 1_000_000,
    "GB": 1_000_000_000,
    "KiB": 1_024,
    "MiB": 1_048_576,
    "GiB": 1_073_741_824,
}

# The first rule whose suffix matches applies, so a longer suffix such as `_per_s` comes
# before the suffixes that it ends with, such as `_s`.
UNIT_RULES = (
    UnitRule(
        suffix="_mbit_per_s",
        units={"kbit/s": 0.001, "Mbit/s": 1, "Gbit/s": 1_000},
        allowed="a bandwidth such as 15Mbit/s (kbit/s, Mbit/s, Gbit/s)",
    ),
    UnitRule(
        suffix="_bytes_per_s",
        units={f"{unit}/s": factor for unit, factor in BYTES.items()},
        allowed="a byte rate such as 500kB/s",
    ),
    UnitRule(
        suffix="_per_s",
        units={"/s": 1, "/min": 1 / 60},
        allowed="a rate such as 2000/s or 30/min",
    ),
    UnitRule(
        suffix="_bytes",
        units=BYTES,
        keep_suffix=True,
        allowed="a size such as 64KiB or 1MB",
    ),
    UnitRule(
        suffix="_milli",
        units={"": 1_000, "m": 1},
        allowed="cores such as 4, 0.5 or 500m",
    ),
    UnitRule(
        suffix="_mb",
        units={
            "MB": 1,
            "GB": 1_000,
            "TB": 1_000_000,
            "MiB": 1.048576,
            "GiB": 1_073.741824,
        },
        allowed="memory such as 512MB or 8GB (MB, GB, TB, MiB, GiB)",
    ),
    UnitRule(
        suffix="_ms",
        units={unit: 1_000 * factor for unit, factor in SECONDS.items()},
        allowed="a duration such as 20ms or 1.5s (ms, s, min, h, d)",
    ),
    UnitRule(
        suffix="_s",
        units=SECONDS,
        allowed="a duration such as 30s, 5min or 1h (ms, s, min, h, d)",
    ),
)


def rule_for(field_name) -> UnitRule | None:
    """Return the unit rule of a field name; None for a field without a unit."""
    for rule in UNIT_RULES:
        if field_name.endswith(rule.suffix):
            return rule
    return None


def parse_quantity(text, rule, *, whole) -> int | float | None:
    """Convert a quantity to the unit of its field.

    Parameters
    ----------
    text : str
        Quantity as written in the document.
    rule : UnitRule
        Accepted units.
    whole : bool
        Whether the field holds an integer, so that the value is rounded up.

    Returns
    -------
    int or float or None
        The value in the unit of the field; None if the text is not a quantity of
        this rule.
    """
    match = QUANTITY.fullmatch(text.strip())
    if match is None:
        return None
    number, unit = match.groups()
    factor = rule.units.get(unit)
    if factor is None:
        # Zero needs no unit.
        return 0 if unit == "" and float(number) == 0 else None
    value = float(number) * factor
    return math.ceil(round(value, 6)) if whole else value
