"""Generation of a configuration from valid answers."""

from oriolejunction import configuration
from oriolejunction import ids
from oriolejunction.questionnaire import answers as answer_files


def build_configuration(
    answers: answer_files.Answers,
) -> configuration.Configuration:
    """Return the configuration that the answers describe."""
    return configuration.Configuration(
        measure=answers.measure,
        zones=tuple(map(ids.ZoneId, answers.zones)),
        models=tuple(map(_build_model, answers.models)),
        engines=tuple(map(_build_engine, answers.engines)),
        services=tuple(map(_build_service, answers.services)),
        workspaces=tuple(map(_build_workspace, answers.workspaces)),
        weight_loads_per_minute=answers.weight_loads_per_minute,
    )


def _build_model(answer: answer_files.ModelAnswer) -> configuration.Model:
    return configuration.Model(
        ids.ModelName(answer.name),
        ids.ModelVersion(answer.version),
        answer.adapters,
    )


def _build_engine(answer: answer_files.EngineAnswer) -> configuration.Engine:
    return configuration.Engine(
        engine_id=ids.EngineId(answer.name),
        url=answer.url.rstrip("/"),
        zone=ids.ZoneId(answer.zone),
        model=ids.ModelName(answer.model),
        checks_fencing=answer.checks_fencing,
    )


def _build_service(
    answer: answer_files.ServiceAnswer,
) -> configuration.Service:
    patterns = (pattern.split(" ", 1) for pattern in answer.never_twice)
    return configuration.Service(
        name=ids.ServiceName(answer.name),
        urls=tuple(url.rstrip("/") for url in answer.urls),
        never_twice=tuple(
            configuration.CallPattern(method, path)
            for method, path in patterns
        ),
        lookup_path=answer.lookup or None,
    )


def _build_workspace(
    answer: answer_files.WorkspaceAnswer,
) -> configuration.Workspace:
    return configuration.Workspace(
        workspace_id=ids.WorkspaceId(answer.name),
        key_digest=answer_files.key_digest(answer.key),
        share=answer.share,
        tokens_per_s=answer.tokens_per_s,
        concurrent_requests=answer.concurrent_requests,
    )
