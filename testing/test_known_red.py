import pathlib

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from testing.conftest import KNOWN_RED, listed_tests

ROOT = pathlib.Path(__file__).resolve().parent.parent


def test_each_listed_test_exists():
    """Guards against an entry that outlives its test, or names a whole file."""
    for name in listed_tests(KNOWN_RED.read_text()):
        path, _, function = name.partition("::")
        function = function.partition("[")[0]
        assert_that((ROOT / path).read_text(), Contains(f"def {function}("))


def test_only_lines_that_name_a_test_count():
    """Guards against tests that may fail because a text mentions them."""
    text = "seen: test: a::b\ntest: testing/test_a.py::test_b\ncommand: x\n"
    assert_that(listed_tests(text), Equals({"testing/test_a.py::test_b"}))
