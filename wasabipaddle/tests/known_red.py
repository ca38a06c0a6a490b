"""Tests that are passed over because `KNOWN-RED.txt` lists them."""

import pathlib

__all__ = ["KNOWN_RED", "find_unknown", "is_listed", "read_listed_tests"]

KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
TEST_FIELD = "Test: "


def read_listed_tests(text):
    """Return the tests that a list of known failures names.

    Parameters
    ----------
    text : str
        Content of the list; each line `Test: PATH::NAME` names a test function with
        all its parameters.

    Returns
    -------
    set of str
    """
    lines = (line.strip() for line in text.splitlines())
    return {
        line.removeprefix(TEST_FIELD) for line in lines if line.startswith(TEST_FIELD)
    }


def is_listed(node_id, listed) -> bool:
    """Return whether a test is listed, by its function."""
    return node_id.split("[", 1)[0] in listed


def find_unknown(node_ids, listed):
    """Return the listed tests that do not exist although their file was collected."""
    functions = {node_id.split("[", 1)[0] for node_id in node_ids}
    files = {function.split("::", 1)[0] for function in functions}
    return sorted(
        test for test in listed - functions if test.split("::", 1)[0] in files
    )
