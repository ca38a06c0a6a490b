"""Malformed variants of JSON values, for the fuzzing of decoders."""

import copy
import json

__all__ = ["make_input"]

# Depth beyond the recursion limits of decoders.
DEPTH = 30_000
LARGE_NAME = "n" * 1_000_000
# Shares of the inputs that are slow to make and to decode.
NESTED_SHARE = 0.01
LARGE_SHARE = 0.001
# Share of the inputs whose bytes are changed after the encoding.
BYTES_SHARE = 0.15
MAX_CHANGES = 3
# Stands for a raw fragment until the value is encoded.
MARK = "\ue000"
VALUES = (
    None, True, False, 0, 1, -1, 0.5, -0.5, 1.0, 1e300, -1e300, 1e-300,
    2**31, 2**53 - 1, 2**53, 2**63 - 1, 2**63, 2**64, -(2**63) - 1, 10**30, 10**400,
    "", "x", "0", "-1", "1.5", "٣", "\x00", "a\r\nb", "é", "n" * 300, "9" * 5000,
    [], {}, [[]], [None], {"": None}, ["x", 1], {"x": {"y": []}}, list(range(50)),
    "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "a..b:80", "[::1:80", ":80",
    "127.0.0.1:٣", "h" * 64 + ":1", "256.1.1.1:80", "a/b:80",
    "0000000000000000.0.0.-1", "0000000000000000.0.0.0", "0.9", "9.0", "0.-1",
    "0.0.gang", "done", "ready", "running", "completed",
)  # fmt: skip
FRAGMENTS = (
    b"1e999", b"-1e999", b"NaN", b"Infinity", b"9" * 5000, b"01", b"-", b'"\xff"',
    b'"\\ud800"', b'"\\u0000"', b'{"a":1,"a":2}', b"",
)  # fmt: skip


def make_input(random, samples) -> bytes:
    """Return a variant of one of the samples, which are JSON values.

    Most variants differ from the sample in a few values, so that decoders get past
    their first checks.

    Parameters
    ----------
    random : random.Random
        Source of all choices.
    samples : sequence
        Valid values.
    """
    value = copy.deepcopy(random.choice(samples))
    fragments = []
    for _ in range(random.randint(0, MAX_CHANGES)):
        value = _change(random, value, fragments)
    data = json.dumps(value, ensure_ascii=random.random() < 0.5).encode(
        errors="surrogatepass"
    )
    for n, fragment in enumerate(fragments):
        for quoted in (json.dumps(f"{MARK}{n}"), f'"{MARK}{n}"'):
            data = data.replace(quoted.encode(), fragment)
    if random.random() < BYTES_SHARE:
        data = _change_bytes(random, data)
    return data


def _change(random, value, fragments):
    """Replace, remove or add a value at a random place."""
    places = list(_places(value))
    if not places or random.random() < 0.03:
        return _odd_value(random, fragments)
    parent, key = random.choice(places)
    action = random.random()
    if action < 0.12:
        del parent[key]
    elif action < 0.2 and isinstance(parent, dict):
        parent[random.choice(("x", "", "0.0", "\x00", "é"))] = parent[key]
    elif action < 0.25 and isinstance(parent, list):
        parent.extend(copy.deepcopy(parent[key]) for _ in range(random.randint(1, 5)))
    else:
        parent[key] = _odd_value(random, fragments)
    return value


def _places(value):
    """Yield the containers in a value with each of their keys or indexes."""
    if isinstance(value, dict | list):
        keys = value if isinstance(value, dict) else range(len(value))
        for key in keys:
            yield value, key
            yield from _places(value[key])


def _odd_value(random, fragments):
    chance = random.random()
    if chance < LARGE_SHARE:
        return random.choice((LARGE_NAME, ["l"] * 100_000, LARGE_NAME + ":80"))
    if chance < LARGE_SHARE + NESTED_SHARE:
        fragment = random.choice((b"[" * DEPTH, b'{"a":' * DEPTH))
        if random.random() < 0.5:
            fragment = b"[" * DEPTH + b"]" * DEPTH
        fragments.append(fragment)
    elif chance < 0.2:
        fragments.append(random.choice(FRAGMENTS))
    else:
        return copy.deepcopy(random.choice(VALUES))
    return f"{MARK}{len(fragments) - 1}"


def _change_bytes(random, data):
    if not data:
        return bytes([random.randrange(256)])
    position = random.randrange(len(data))
    action = random.randrange(4)
    if action == 0:
        return data[:position]
    if action == 1:
        return data[:position] + bytes([random.randrange(256)]) + data[position + 1 :]
    if action == 2:
        return data[:position] + bytes([random.randrange(256)]) + data[position:]
    return data + data[position:]
