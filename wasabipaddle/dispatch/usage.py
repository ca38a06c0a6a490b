"""Amounts of resources that runs hold."""

import attrs

__all__ = ["NOTHING", "RESOURCES", "Usage"]

RESOURCES = ("cpu", "memory_mb", "gpus")


@attrs.define(kw_only=True)
class Usage:
    """Resources held by runs; `cpu` in thousandths of a core."""

    cpu: float = 0
    memory_mb: float = 0
    gpus: float = 0

    def add(self, spec, count):
        """Add the needs of `count` tasks, negative to subtract them."""
        self.cpu += spec.cpu * count
        self.memory_mb += spec.memory_mb * count
        self.gpus += spec.gpus * count

    def admits(self, limit, spec, count, *others) -> bool:
        """Return whether the needs of `count` tasks fit beside this within a limit.

        A limit of 0 restricts nothing, and a resource that is not needed is not
        compared.

        Parameters
        ----------
        others : tuple of Usage
            Further usage that counts.
        """
        cpu, memory_mb, gpus = self.cpu, self.memory_mb, self.gpus
        for other in others:
            cpu += other.cpu
            memory_mb += other.memory_mb
            gpus += other.gpus
        return (
            _is_within(limit.cpu, cpu, spec.cpu * count)
            and _is_within(limit.memory_mb, memory_mb, spec.memory_mb * count)
            and _is_within(limit.gpus, gpus, spec.gpus * count)
        )

    def is_enough_for(self, spec, count) -> bool:
        """Return whether this covers the needs of `count` tasks."""
        return (
            self.cpu >= spec.cpu * count
            and self.memory_mb >= spec.memory_mb * count
            and self.gpus >= spec.gpus * count
        )


NOTHING = Usage()


def _is_within(limit, used, needed):
    return not limit or not needed or used + needed <= limit
