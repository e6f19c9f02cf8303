"""Paths that servers may read differently are not canonical."""

import pytest

from oriolejunction.http import call_messages


@pytest.mark.parametrize("path", ["/", "/orders", "/orders/", "/a/b-c.d"])
def test_plain_path_is_canonical(path):
    assert call_messages.is_canonical(path)


@pytest.mark.parametrize(
    "path",
    ["//orders", "/./orders", "/a/../orders", "/%6frders", "/a;x/b", "/a\\b"],
)
def test_ambiguous_path_is_not_canonical(path):
    assert not call_messages.is_canonical(path)
