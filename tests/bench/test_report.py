"""A report contains a section, a table and a plot for each result."""

from oriolejunction.bench import plots
from oriolejunction.bench import report
from oriolejunction.bench import result

RESUME = {
    policy: {
        "resume_p99_ms": latency,
        "extra_tokens_per_useful_token": extra,
    }
    for policy, latency, extra in (("hedge", 300, 0.2), ("cold", 900, 0.0))
}


def test_report_contains_each_result(tmp_path):
    results = [
        result.BenchResult("routing", 1, {"a": {"p95_ms": 1}}, 0),
        result.BenchResult("resume", 1, RESUME, 2),
    ]
    page = report.write(results, tmp_path)
    text = page.read_text()
    assert text.index("Resume latency") < text.index("routing policy")
    assert "violations: 2" in text
    assert (tmp_path / "resume.png").stat().st_size > 0
    table = (tmp_path / "resume.csv").read_text()
    assert "hedge.resume_p99_ms,300" in table


def test_numeric_groups_at_any_depth():
    nested = {"faults": {"die": {"x": 1}}, "top": 3}
    assert plots.numeric_groups(nested) == {"faults.die": {"x": 1.0}}


def test_latency_percentiles():
    latencies = result.Latencies()
    for duration in range(1, 101):
        latencies.record(duration)
    figures = latencies.figures("x")
    assert 49 <= figures["x_p50_ms"] <= 51
    assert 99 <= figures["x_max_ms"] <= 101
