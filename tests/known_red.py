"""Reads which tests KNOWN-RED.txt lists, so that a run passes over them."""

import pathlib
import re

PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_TEST_ID = re.compile(r"^\d+\. (tests/\S+\.py::\S+)", re.MULTILINE)


def listed_tests(text: str) -> frozenset[str]:
    """Return the ids of the tests that the entries begin with."""
    return frozenset(_TEST_ID.findall(text))


def is_listed(test_id: str, listed: frozenset[str]) -> bool:
    """Return whether a test, or all parameters of it, are listed."""
    return test_id in listed or test_id.partition("[")[0] in listed
