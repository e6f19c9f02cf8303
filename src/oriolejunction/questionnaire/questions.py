"""The numbered questions of the questionnaire, in order."""

import dataclasses

from oriolejunction.questionnaire import answers


@dataclasses.dataclass(frozen=True)
class Question:
    """One question; `entry_type` is set if the answer is a list."""

    number: int
    field: str
    text: str
    entry_type: type | None = None


QUESTIONS = (
    Question(
        1,
        "measure",
        "Which matters more: that answers continue quickly after an engine"
        " dies (latency), or that few extra resources are spent (resources)?",
    ),
    Question(2, "zones", "Which availability zones are there?"),
    Question(
        3,
        "weight_loads_per_minute",
        "How many model loads a minute does the weight store allow?",
    ),
    Question(
        4,
        "models",
        "Which models are served, in which version?",
        answers.ModelAnswer,
    ),
    Question(
        5,
        "engines",
        "Which engines are there, at which address, in which availability"
        " zone, for which model, and do they check fencing numbers?",
        answers.EngineAnswer,
    ),
    Question(
        6,
        "services",
        "Which plain services are there, and which of their requests must"
        " never run twice?",
        answers.ServiceAnswer,
    ),
    Question(
        7,
        "workspaces",
        "Which workspaces are there, with which key, share and limits?",
        answers.WorkspaceAnswer,
    ),
    Question(
        8,
        "confirmed",
        "Which changes that reduce safety do you confirm? Copy each"
        " sentence word for word from the refusal of the submission.",
    ),
)
number_by_field = {question.field: question.number for question in QUESTIONS}
