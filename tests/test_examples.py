"""The sample questionnaires of both deployments are valid."""

import pathlib

import pytest

from oriolejunction.questionnaire import answers as answer_files
from oriolejunction.questionnaire import checks
from oriolejunction.questionnaire import generate

FOLDER = pathlib.Path(__file__).parents[1] / "examples"


@pytest.mark.parametrize(
    "name, zones, model, service, never_twice_call",
    [
        ("brewline", 3, "brew-assist", "order-desk", "POST /deliveries"),
        ("gasrecupera", 4, "redactor", "registro", "POST /handovers"),
    ],
)
def test_sample_is_valid(name, zones, model, service, never_twice_call):
    answers = answer_files.parse((FOLDER / f"{name}.toml").read_text())
    assert checks.find_faults(answers) == []
    assert len(answers.zones) == zones
    assert len(answers.workspaces) == 10
    config = generate.build_configuration(answers)
    assert len(config.engines_for(model)) == 12
    patterns = config.service(service).never_twice
    assert never_twice_call in {
        f"{p.method} {p.path_prefix}" for p in patterns
    }
