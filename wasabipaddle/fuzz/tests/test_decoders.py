"""Decoders with malformed inputs: a seeded run, kept inputs, and mutations."""

import pathlib

import pytest

from wasabipaddle.commands import main
from wasabipaddle.fuzz.decoders import TARGETS, Target
from wasabipaddle.fuzz.records import check_input, fuzz_decoders
from wasabipaddle.ingress import protocol
from wasabipaddle.jobs import JobProgress, checks, fleet, records
from wasabipaddle.platform import registry, runner

CORPUS = pathlib.Path(__file__).parent / "corpus"
KEPT = sorted(CORPUS.glob("*.bin"))
INPUTS = 6_000
SEED = 20261205


def test_no_decoder_raises_an_unexpected_error():
    """Guards against a record that ends a process or a loop of a role."""
    result = fuzz_decoders(inputs=INPUTS, seed=SEED)
    assert result.faults == ()
    assert result.inputs == INPUTS


@pytest.mark.parametrize("path", KEPT, ids=lambda path: path.stem)
def test_kept_input_is_decoded_without_an_error(path):
    """Guards against a fault that was found before."""
    target = TARGETS[path.name.partition("-")[0]]
    assert check_input(target, path.read_bytes()) == ""


def test_kept_inputs_are_found():
    """Guards against a corpus that is not read."""
    assert len(KEPT) >= 10


def accept_any(value, **bounds):
    """Stand-in for a check of a number."""
    return value


MUTATIONS = {
    "registry takes any number": ("registry", registry, "integer", accept_any),
    "registry takes any address": (
        "registry",
        registry,
        "is_callable_address",
        lambda address: True,
    ),
    "fleet takes any number": ("fleet", fleet, "integer", accept_any),
    "runner takes any number": ("runner", runner, "integer", accept_any),
    "jobs are not checked": ("job", records, "find_job_problem", lambda job: ""),
    "amounts are not checked": ("spec", checks, "_is_in_range", lambda value: True),
    "progress is not restricted": (
        "progress",
        JobProgress,
        "restrict",
        lambda self, spec: self,
    ),
    "the parser gets several heads at once": (
        "connection",
        protocol,
        "find_head_end",
        lambda last_bytes, data: len(data),
    ),
    "only format errors are expected": (
        "fleet",
        fleet,
        "DECODING_ERRORS",
        (TypeError,),
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_each_mutation_is_found(name, monkeypatch):
    """Guards against inputs or checks that find no fault whatever the code does."""
    target, owner, attribute, replacement = MUTATIONS[name]
    monkeypatch.setattr(owner, attribute, replacement)
    targets = {target: TARGETS[target]}
    assert fuzz_decoders(inputs=3_000, seed=SEED, targets=targets).faults


def test_fault_is_reported_and_kept(monkeypatch, capsys, tmp_path):
    """Guards against a fault that cannot be reproduced from its report."""

    def fail(data):
        if b"2" in data:
            raise ZeroDivisionError("x")

    broken = Target(name="registry", check=fail, samples=(["1"], ["2"]))
    monkeypatch.setitem(TARGETS, "registry", broken)
    with pytest.raises(SystemExit) as ended:
        main(["fuzz", "--decoders", "400", "--seed", "5", "--keep", str(tmp_path)])
    assert ended.value.code == 1
    printed = capsys.readouterr().out
    assert "decoder registry: ZeroDivisionError: x" in printed
    kept = list(tmp_path.glob("registry-*.bin"))
    assert kept
    assert all(b"2" in path.read_bytes() for path in kept)
    first = fuzz_decoders(inputs=400, seed=5)
    assert first == fuzz_decoders(inputs=400, seed=5)
    assert first != fuzz_decoders(inputs=400, seed=6)


@pytest.mark.parametrize("value", ["0", "-1", "x", "1.5", "True"])
def test_command_refuses_a_number_of_inputs_that_is_not_positive(value, capsys):
    """Guards against a run without inputs that reports success."""
    with pytest.raises(SystemExit) as ended:
        main(["fuzz", "--decoders", value])
    assert ended.value.code == 2
    assert "--decoders" in capsys.readouterr().err
