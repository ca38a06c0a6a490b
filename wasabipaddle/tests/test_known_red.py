"""Tests of the list of known failures."""

from wasabipaddle.tests.known_red import find_unknown, is_listed, read_listed_tests

TEXT = """Known failures that CI does not run.

1. A test
   Test: a/test_x.py::test_one
   Command: pytest a/test_x.py::test_two
"""


def test_listed_test_is_passed_over_with_all_its_parameters():
    """Guards against passing over more tests than those that are listed."""
    listed = read_listed_tests(TEXT)
    assert listed == {"a/test_x.py::test_one"}
    assert is_listed("a/test_x.py::test_one", listed)
    assert is_listed("a/test_x.py::test_one[0.4]", listed)
    assert not is_listed("a/test_x.py::test_one_more", listed)
    assert not is_listed("a/test_x.py::test_two", listed)


def test_listed_test_that_does_not_exist_is_an_error():
    """Guards against entries that outlive their test or never named one."""
    listed = read_listed_tests(TEXT)
    assert find_unknown(["a/test_x.py::test_two"], listed) == ["a/test_x.py::test_one"]
    assert find_unknown(["a/test_x.py::test_one[1]"], listed) == []
    assert find_unknown(["b/test_y.py::test_two"], listed) == []
