"""The bench of tables on thin links measures real processes."""

from bench import config_spread
from oriolejunction.bench import result


async def test_all_instances_get_each_change(monkeypatch):
    monkeypatch.setattr(config_spread, "WATCHERS", (3,))
    monkeypatch.setattr(config_spread, "ROUTES", (48, 400))
    outcome = await config_spread.run(result.BenchOptions(seed=1))
    changes = outcome.figures["by_change"]
    assert outcome.violations == 0
    assert len(changes) == 4
    for change in changes.values():
        assert 0 < change["first_ms"] <= change["last_ms"]
        assert 0 < change["bytes_each"] < change["document_bytes"] / 2
