"""Routes are found by host and longest prefix."""

import random

import hypothesis
from hypothesis import strategies as st
import msgspec

from oriolejunction import routing_table
from tests.platform import gateway_rig

PREFIXES = st.lists(
    st.lists(st.sampled_from("ab"), max_size=3).map(
        lambda names: "/" + "".join(f"{name}/" for name in names)
    ),
    unique=True,
    max_size=6,
)
PATHS = st.lists(st.sampled_from("ab"), max_size=4).map(
    lambda names: "/" + "/".join(names)
)


def table_with_prefixes(prefixes):
    base = gateway_rig.table()
    first = base.routes[0]
    routes = tuple(
        msgspec.structs.replace(first, name=p, prefix=p) for p in prefixes
    )
    return gateway_rig.table(routes=routes)


@hypothesis.given(PREFIXES, PATHS)
def test_longest_matching_prefix_is_chosen(prefixes, path):
    found = table_with_prefixes(prefixes).route(gateway_rig.HOST, path)
    matching = [p for p in prefixes if path.startswith(p)]
    expected = max(matching, key=len) if matching else None
    assert (found and found.prefix) == expected


def test_other_host_has_no_route():
    assert gateway_rig.table().route("other", "/brief/1") is None


def test_services_are_drawn_by_weight():
    route = gateway_rig.table().routes[0]
    split = msgspec.structs.replace(
        route,
        services=(
            routing_table.WeightedService("a", 90.0),
            routing_table.WeightedService("b", 10.0),
            routing_table.WeightedService("c", 0.0),
        ),
    )
    rng = random.Random(1)
    drawn = [split.pick_service(rng) for _ in range(2_000)]
    assert 130 < drawn.count("b") < 270
    assert "c" not in drawn


def test_duplicate_routes_are_reported():
    table = table_with_prefixes(["/a/", "/b/"])
    assert routing_table.find_faults(table) == []
    duplicated = gateway_rig.table(routes=(table.routes[0],) * 2)
    assert routing_table.find_faults(duplicated)
