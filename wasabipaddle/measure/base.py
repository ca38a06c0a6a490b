"""Base class and registry of measures."""

import abc
import operator
from typing import ClassVar

import attrs

__all__ = ["MEASURES", "Bound", "Measure", "Measurement"]

MEASURES = {}

_COMPARISONS = {"<=": operator.le, ">=": operator.ge, "==": operator.eq}


@attrs.frozen(kw_only=True)
class Bound:
    """Limit that one figure must meet, as required by the design document.

    Parameters
    ----------
    figure : str
        Key of the figure.
    comparison : {"<=", ">=", "=="}
        How the figure must compare with `value`.
    """

    figure: str
    comparison: str
    value: float

    def holds(self, figures) -> bool:
        """Return whether the figure is present and within the limit."""
        figure = figures.get(self.figure)
        return figure is not None and _COMPARISONS[self.comparison](figure, self.value)


@attrs.frozen(kw_only=True)
class Measurement:
    """Result of one run of a measure.

    Parameters
    ----------
    sizes : dict of str to number
        Sizes of the input.
    figures, baseline : dict of str to number
        Figures of the system and of the baseline on the same input.
    """

    name: str
    seed: int
    sizes: dict
    figures: dict
    baseline: dict
    bounds: tuple[Bound, ...]

    @property
    def holds(self) -> bool:
        """Whether every bound holds."""
        return all(b.holds(self.figures) for b in self.bounds)

    def as_json(self):
        """Return the JSON object that `measure --json` prints."""
        return {
            "name": self.name,
            "seed": self.seed,
            "sizes": self.sizes,
            "figures": self.figures,
            "baseline": self.baseline,
            "bounds": {b.figure: f"{b.comparison} {b.value:g}" for b in self.bounds},
            "holds": self.holds,
        }


class Measure(abc.ABC):
    """Base class of measures; subclasses with a `name` are registered.

    Parameters
    ----------
    against : str
        Directory of another checkout, for measures that compare its processes with
        those of this code; empty for none.
    """

    name: ClassVar[str] = ""
    bounds: ClassVar[tuple[Bound, ...]] = ()

    def __init__(self, *, against=""):
        self.against = against

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        if cls.name:
            MEASURES[cls.name] = cls

    @abc.abstractmethod
    def run(self, *, seed, quick) -> Measurement:
        """Run the measure and its baseline on the input of `seed`."""

    def measurement(self, *, seed, sizes, figures, baseline) -> Measurement:
        """Return the result with the bounds of this measure."""
        return Measurement(
            name=self.name,
            seed=seed,
            sizes=sizes,
            figures=figures,
            baseline=baseline,
            bounds=self.bounds,
        )
