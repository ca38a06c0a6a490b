"""Reading of YAML into `attrs` classes, with the line and key of every problem."""

import enum
import math
import re
import types
import typing

import attrs
import yaml

from wasabipaddle.documents.units import parse_quantity, rule_for

__all__ = ["Bounds", "Problem", "Reader", "join_problems"]

# Parsing blocks the event loop, and the C parser is 9 times faster than the Python one.
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
MAX_DEPTH = 12
MAX_ITEMS = 10_000
MAX_STRING_LENGTH = 1_024
MAX_NUMBER = 10**15
MAX_REPORTED_PROBLEMS = 20
SECRET_FIELDS = frozenset({"token"})  # values never appear in messages
NAME = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?")
NAME_ALLOWED = "1 to 63 lower-case letters, digits and inner hyphens"
INTEGER = re.compile(r"-?[0-9]{1,15}")
NUMBER = re.compile(r"-?[0-9]{1,15}(?:\.[0-9]{1,15})?")
CORE_TAGS = frozenset(
    f"tag:yaml.org,2002:{name}"
    for name in ("str", "int", "float", "bool", "null", "map", "seq", "timestamp")
)


@attrs.frozen(kw_only=True)
class Problem:
    """One problem of a file.

    Parameters
    ----------
    source : str
        File name.
    line : int
        Line, counted from 1.
    key : str
        Path of the key, separated by dots.
    detail : str
        Description of the problem.
    allowed : str
        Description of what is allowed; empty if the detail contains it.
    """

    source: str
    line: int
    key: str
    detail: str
    allowed: str = ""

    def __str__(self):
        allowed = f" (allowed: {self.allowed})" if self.allowed else ""
        return f"{self.source}:{self.line}: {self.key or '.'}: {self.detail}{allowed}"


@attrs.frozen(kw_only=True)
class Bounds:
    """Inclusive bounds of a number."""

    low: float = 0
    high: float = MAX_NUMBER

    def __str__(self):
        if self.high >= MAX_NUMBER:
            return f"at least {self.low:.15g}"
        return f"{self.low:.15g} to {self.high:.15g}"


def join_problems(problems) -> str:
    """Return the problems as one line, in which only the first ones are listed."""
    shown = "; ".join(str(p) for p in problems[:MAX_REPORTED_PROBLEMS])
    hidden = len(problems) - MAX_REPORTED_PROBLEMS
    return f"{shown}; and {hidden} more" if hidden > 0 else shown


class Reader:
    """Builds `attrs` instances from one YAML text and collects all its problems.

    Parameters
    ----------
    source : str
        File name, for error messages.
    bounds : dict
        `Bounds` of numbers by (class name, field name).
    names : frozenset of str
        Names of the fields whose value must match `NAME`.
    keys : dict
        YAML key by (class name, field name), for fields whose key does not follow
        from the unit rules.
    """

    def __init__(self, *, source, bounds, names, keys=None):
        self.source = source
        self.bounds = bounds
        self.names = names
        self.keys = keys or {}
        self.problems = []
        self.lines = {}

    def compose(self, text):
        """Parse YAML into a node; None if the text has an error or is empty."""
        try:
            if not self._check_events(text):
                return None
            node = yaml.compose(text, Loader=LOADER)
        except (yaml.YAMLError, ValueError, OverflowError, RecursionError) as error:
            mark = getattr(error, "problem_mark", None)
            detail = getattr(error, "problem", None) or "the text cannot be parsed"
            self.report(mark.line + 1 if mark else 1, "", str(detail), "YAML")
            return None
        if node is None:
            self.report(1, "", "the file is empty", "a mapping")
        return node

    def _check_events(self, text):
        """Reject aliases and deep nesting before nodes are built.

        A short text with either can take exponential or quadratic time to process.
        """
        depth = 0
        for event in yaml.parse(text, Loader=LOADER):
            line = event.start_mark.line + 1
            if isinstance(event, yaml.AliasEvent):
                self.report(line, "", "aliases are not supported", "plain YAML values")
                return False
            if isinstance(event, yaml.CollectionStartEvent):
                depth += 1
            elif isinstance(event, yaml.CollectionEndEvent):
                depth -= 1
            if depth > MAX_DEPTH:
                self.report(
                    line, "", "nested too deeply", f"at most {MAX_DEPTH} levels"
                )
                return False
        return True

    def report(self, line, key, detail, allowed=""):
        """Add a problem."""
        self.problems.append(
            Problem(
                source=self.source, line=line, key=key, detail=detail, allowed=allowed
            )
        )

    def report_at(self, key, detail, allowed=""):
        """Add a problem at the line where `key` or its nearest parent was read."""
        nearest = key
        while nearest and nearest not in self.lines:
            nearest = nearest.rpartition(".")[0]
        self.report(self.lines.get(nearest, 1), key, detail, allowed)

    def read_class(self, cls, node, key="", preset=None):
        """Build an instance of an `attrs` class; None if there are problems.

        `preset` holds values by field name, which replace those of the text.
        """
        self._record_line(key, node)
        if not isinstance(node, yaml.MappingNode):
            self._reject(node, key, "a mapping")
            return None
        hints = typing.get_type_hints(cls)
        fields = {self._key_of(cls, f): f for f in attrs.fields(cls)}
        problems_before = len(self.problems)
        values = {}
        preset = preset or {}
        for key_node, value_node in node.value:
            name = self._read_key(key_node, key, fields, values)
            if name is None:
                continue
            field = fields[name]
            path = f"{key}.{name}" if key else name
            if field.name in preset:
                self._record_line(path, value_node)
                continue
            values[name] = self._read_field(
                cls, field.name, hints[field.name], value_node, path
            )
        for name, field in fields.items():
            if field.name in preset:
                values[name] = preset[field.name]
            elif field.default is attrs.NOTHING and name not in values:
                detail = f"the key {name} is missing"
                self.report(node.start_mark.line + 1, key, detail)
        if len(self.problems) > problems_before:
            return None
        return cls(**{fields[name].name: value for name, value in values.items()})

    def _key_of(self, cls, field):
        override = self.keys.get((cls.__name__, field.name))
        if override is not None:
            return override
        rule = rule_for(field.name)
        return field.name if rule is None else rule.key_of(field.name)

    def _read_key(self, node, parent, fields, seen):
        line = node.start_mark.line + 1
        name = node.value if isinstance(node, yaml.ScalarNode) else None
        if name not in fields:
            shown = "a nested key" if name is None else repr(name[:MAX_STRING_LENGTH])
            self.report(line, parent, f"unknown key {shown}", ", ".join(fields))
            return None
        if name in seen:
            self.report(line, parent, f"the key {name} is given twice")
            return None
        return name

    def _read_field(self, cls, name, hint, node, key):
        self._record_line(key, node)
        rule = rule_for(name)
        bounds = self.bounds.get((cls.__name__, name), Bounds())
        if rule is not None and hint in (int, float):
            text = self._read_scalar(node, key, rule.allowed)
            if text is None:
                return None
            value = parse_quantity(text, rule, whole=hint is int)
            if value is None:
                return self._reject(node, key, rule.allowed)
            return self._check_bounds(node, key, value, bounds, rule.units)
        return self._read_value(hint, node, key, name=name, bounds=bounds)

    def _read_value(self, hint, node, key, *, name, bounds):
        origin = typing.get_origin(hint)
        if origin is tuple:
            return self._read_list(typing.get_args(hint)[0], node, key, name)
        if origin is types.UnionType:
            hint = typing.get_args(hint)[0]
        if attrs.has(hint):
            return self.read_class(hint, node, key)
        if hint is bool:
            text = self._read_scalar(node, key, "true or false")
            if text is not None and text not in ("true", "false"):
                return self._reject(node, key, "true or false")
            return text == "true"
        if hint in (int, float):
            return self._read_number(hint, node, key, bounds)
        if issubclass(hint, enum.Enum):
            members = [m.value for m in hint]
            text = self._read_scalar(node, key, ", ".join(members))
            if text is not None and text not in members:
                return self._reject(node, key, ", ".join(members))
            return None if text is None else hint(text)
        return self._read_string(node, key, name)

    def _read_list(self, item_hint, node, key, name):
        if not isinstance(node, yaml.SequenceNode) or len(node.value) > MAX_ITEMS:
            return self._reject(node, key, f"a list of at most {MAX_ITEMS} items")
        items = []
        for i, item in enumerate(node.value):
            path = f"{key}.{i}"
            self._record_line(path, item)
            items.append(
                self._read_value(item_hint, item, path, name=name, bounds=Bounds())
            )
        return tuple(items)

    def _read_number(self, hint, node, key, bounds):
        pattern, allowed = (
            (INTEGER, f"a whole number, {bounds}")
            if hint is int
            else (NUMBER, f"a number, {bounds}")
        )
        text = self._read_scalar(node, key, allowed)
        if text is None:
            return None
        if pattern.fullmatch(text) is None:
            return self._reject(node, key, allowed)
        return self._check_bounds(node, key, hint(text), bounds)

    def _read_string(self, node, key, name):
        text = self._read_scalar(node, key, "a text")
        if text is None:
            return None
        if name in self.names and NAME.fullmatch(text) is None:
            return self._reject(node, key, NAME_ALLOWED)
        if len(text) > MAX_STRING_LENGTH or not text.isprintable():
            return self._reject(
                node, key, f"at most {MAX_STRING_LENGTH} printable characters"
            )
        return text

    def _check_bounds(self, node, key, value, bounds, units=None):
        if not math.isfinite(value) or not bounds.low <= value <= bounds.high:
            unit = ""
            if units:
                unit = f", counted in {min(units, key=lambda u: abs(units[u] - 1))}"
            return self._reject(node, key, f"{bounds}{unit}")
        return value

    def _read_scalar(self, node, key, allowed):
        null = "tag:yaml.org,2002:null"
        if not isinstance(node, yaml.ScalarNode) or node.tag == null:
            return self._reject(node, key, allowed)
        if node.tag not in CORE_TAGS:
            return self._reject(node, key, "a value without a YAML tag")
        return node.value

    def _reject(self, node, key, allowed):
        if key.rpartition(".")[2] in SECRET_FIELDS:
            detail = "the value is not allowed"
        elif isinstance(node, yaml.ScalarNode):
            detail = f"{node.value[:80]!r} is not allowed"
        else:
            detail = f"a {node.id} is not allowed"
        self.report(node.start_mark.line + 1, key, detail, allowed)

    def _record_line(self, key, node):
        self.lines[key] = node.start_mark.line + 1
