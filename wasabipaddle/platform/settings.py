"""Names of the platform for settings that it may leave out."""

import attrs

__all__ = ["OPTIONAL_SETTINGS", "OptionalSetting"]


@attrs.frozen(kw_only=True)
class OptionalSetting:
    """Setting of a process that follows from a field of the platform.

    Parameters
    ----------
    key, field : str
        Key of the setting and path of the field, with dots between the levels.
    unit : str
        Unit of the field; empty if it is a count.
    condition : str
        Path of a field without which, or if which is false, the setting does not apply;
        empty if it always applies.
    """

    key: str
    field: str
    unit: str = ""
    condition: str = ""


OPTIONAL_SETTINGS = (
    OptionalSetting(
        key="bounds.revocation",
        field="bounds.revoke_ms",
        unit="ms",
        condition="bounds.strict_revoke",
    ),
    OptionalSetting(key="bounds.maintenance", field="bounds.maintenance_s", unit="s"),
    OptionalSetting(key="bounds.order_pause", field="bounds.lease_ms", unit="ms"),
    OptionalSetting(key="memory", field="limits.memory_mb", unit="MB"),
    OptionalSetting(key="descriptors", field="limits.max_fds"),
)
