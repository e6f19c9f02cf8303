"""Only the tests that KNOWN-RED.txt lists are passed over."""

from tests import known_red

ENTRIES = """Known faults.

1. make bench NAME=admission SEED=1 SECONDS=20 (issue 4)
   See tests/http/test_other.py::test_mentioned.
2. tests/http/test_some.py::test_red (issue 26)
   The answer is cut.
3. tests/http/test_some.py::test_each[second] (issue 26)
"""


def test_only_the_listed_tests_are_passed_over():
    listed = known_red.listed_tests(ENTRIES)
    assert known_red.is_listed("tests/http/test_some.py::test_red", listed)
    assert known_red.is_listed("tests/http/test_some.py::test_red[a]", listed)
    assert known_red.is_listed(
        "tests/http/test_some.py::test_each[second]", listed
    )
    for green in (
        "tests/http/test_some.py::test_each[first]",
        "tests/http/test_some.py::test_red_too",
        "tests/http/test_other.py::test_mentioned",
    ):
        assert not known_red.is_listed(green, listed)
