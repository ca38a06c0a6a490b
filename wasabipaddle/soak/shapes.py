"""Kinds of runners in a soak test."""

import attrs

from wasabipaddle.jobs import Capacity

__all__ = ["COMPUTE", "GENERAL", "MEMORY", "MIXED_SHAPES", "RunnerShape"]


@attrs.frozen(kw_only=True)
class RunnerShape:
    """Capacity of a kind of runners, and the label that steps may require."""

    label: str
    capacity: Capacity


GENERAL = RunnerShape(label="general", capacity=Capacity(cpu=6_000, memory_mb=16_000))
# Few large tasks fill the memory of these and leave most processors free.
COMPUTE = RunnerShape(label="compute", capacity=Capacity(cpu=8_000, memory_mb=16_000))
MEMORY = RunnerShape(label="memory", capacity=Capacity(cpu=16_000, memory_mb=96_000))
# Not a multiple of `eligibility.PARTS` shapes: otherwise all runners of one shape would
# be ineligible for some steps.
MIXED_SHAPES = (COMPUTE, COMPUTE, COMPUTE, COMPUTE, MEMORY)
