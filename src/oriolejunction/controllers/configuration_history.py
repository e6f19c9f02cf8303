"""Drafts, revisions and the audit log, as a deterministic state."""

import dataclasses
import hashlib
import typing

from oriolejunction import commands
from oriolejunction import configuration
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import messages
from oriolejunction import states

MAX_DRAFTS = 200
MAX_ENTRIES = 1_000
MAX_RETAINED_REVISIONS = 2

Change = commands.SubmitDraft | commands.AcceptDraft | commands.WithdrawChange
Key = typing.TypeVar("Key")


@dataclasses.dataclass
class ConfigurationHistory:
    """State that results from the committed configuration changes.

    `audit` holds the entries that are not drained yet; `audit_count` counts
    all entries ever added. The other collections are bounded: a change that
    needs a dropped entry is refused.
    """

    revision: ids.Revision = ids.NO_REVISION
    content_by_revision: dict[ids.Revision, configuration.Configuration] = (
        dataclasses.field(default_factory=dict)
    )
    draft_by_id: dict[ids.DraftId, commands.SubmitDraft] = dataclasses.field(
        default_factory=dict
    )
    accepted_by_draft: dict[ids.DraftId, commands.ChangeAccepted] = (
        dataclasses.field(default_factory=dict)
    )
    withdrawn_by_draft: dict[ids.DraftId, commands.ChangeAccepted] = (
        dataclasses.field(default_factory=dict)
    )
    result_by_operation: dict[ids.OperationId, commands.ChangeAccepted] = (
        dataclasses.field(default_factory=dict)
    )
    winner_by_base: dict[ids.Revision, ids.Revision] = dataclasses.field(
        default_factory=dict
    )
    operator_by_revision: dict[ids.Revision, str] = dataclasses.field(
        default_factory=dict
    )
    audit_count: int = 0
    audit: list[messages.AuditEntry] = dataclasses.field(default_factory=list)

    @property
    def content(self) -> configuration.Configuration | None:
        """Return the configuration in force, if any."""
        return self.content_by_revision.get(self.revision)


def apply_change(
    history: ConfigurationHistory, change: Change
) -> commands.CommandResult:
    """Apply a committed change; a resent one gets its first result.

    Changes that put a revision in force are recognised by their operation
    id, drafts by their draft id. A refusal changes nothing and is decided
    again when resent.
    """
    revision_before = history.revision
    first_result = history.result_by_operation.get(change.operation_id)
    if first_result is not None:
        return first_result
    match change:
        case commands.SubmitDraft():
            result = _submit(history, change)
        case commands.AcceptDraft():
            result = _accept(history, change)
        case commands.WithdrawChange():
            result = _withdraw(history, change)
    if history.revision > revision_before:
        _insert_bounded(
            history.result_by_operation, change.operation_id, result
        )
    return result


def _submit(
    history: ConfigurationHistory, change: commands.SubmitDraft
) -> commands.CommandResult:
    accepted = history.accepted_by_draft.get(change.draft_id)
    if accepted is not None:
        return _already_accepted(accepted)
    if change.base_revision != history.revision:
        return _conflict(history, change.draft_id, change.base_revision)
    if change.draft_id not in history.draft_by_id:
        history.withdrawn_by_draft.pop(change.draft_id, None)
        _insert_bounded(
            history.draft_by_id, change.draft_id, change, MAX_DRAFTS
        )
        _append_audit(history, change, states.ChangeAction.SUBMIT, change)
    return commands.ChangeAccepted(
        change.draft_id, history.revision, change.differences
    )


def _accept(
    history: ConfigurationHistory, change: commands.AcceptDraft
) -> commands.CommandResult:
    accepted = history.accepted_by_draft.get(change.draft_id)
    if accepted is not None:
        return accepted
    draft = history.draft_by_id.get(change.draft_id)
    if draft is None:
        return commands.ChangeRefused(
            "unknown_draft", f"there is no draft {change.draft_id}"
        )
    if draft.base_revision != history.revision:
        return _conflict(history, draft.draft_id, draft.base_revision)
    del history.draft_by_id[draft.draft_id]
    _put_in_force(history, draft.configuration, change.operator)
    _append_audit(history, draft, states.ChangeAction.ACCEPT, change)
    result = commands.ChangeAccepted(
        draft.draft_id, history.revision, draft.differences
    )
    _insert_bounded(history.accepted_by_draft, draft.draft_id, result)
    return result


def _withdraw(
    history: ConfigurationHistory, change: commands.WithdrawChange
) -> commands.CommandResult:
    draft_id = ids.DraftId(change.target)
    if draft_id in history.withdrawn_by_draft:
        return history.withdrawn_by_draft[draft_id]
    draft = history.draft_by_id.pop(draft_id, None)
    if draft is not None:
        return _withdraw_draft(history, draft, change)
    accepted = history.accepted_by_draft.get(draft_id)
    target = str(accepted.revision) if accepted else change.target
    if target != str(history.revision):
        return _not_withdrawable(history, target)
    previous = history.content_by_revision.get(
        ids.Revision(history.revision - 1)
    )
    if previous is None:
        return commands.ChangeRefused(
            "unknown_draft", f"there is no revision before {target}"
        )
    _put_in_force(history, previous, change.operator)
    _append_audit(history, None, states.ChangeAction.WITHDRAW, change)
    return commands.ChangeAccepted(ids.DraftId(""), history.revision)


def _withdraw_draft(
    history: ConfigurationHistory,
    draft: commands.SubmitDraft,
    change: commands.WithdrawChange,
) -> commands.ChangeAccepted:
    _append_audit(history, draft, states.ChangeAction.WITHDRAW, change)
    result = commands.ChangeAccepted(draft.draft_id, history.revision)
    _insert_bounded(history.withdrawn_by_draft, draft.draft_id, result)
    return result


def _not_withdrawable(
    history: ConfigurationHistory, target: str
) -> commands.ChangeRefused:
    if target.isdecimal() and 0 < int(target) < history.revision:
        return _conflict(
            history, f"the withdrawal of {target}", ids.Revision(int(target))
        )
    return commands.ChangeRefused(
        "unknown_draft",
        f"{target} is neither a draft nor the revision in force",
    )


def _already_accepted(
    accepted: commands.ChangeAccepted,
) -> commands.ChangeRefused:
    return commands.ChangeRefused(
        "revision_conflict",
        f"draft {accepted.draft_id} was accepted as revision"
        f" {accepted.revision}; submit again",
    )


def _conflict(
    history: ConfigurationHistory, subject: str, base: ids.Revision
) -> commands.ChangeRefused:
    winner = history.winner_by_base.get(base)
    winning_operator = history.operator_by_revision.get(
        winner, "another operator"
    )
    winning_change = (
        f"revision {winner} by {winning_operator}"
        if winner
        else "a later revision"
    )
    return commands.ChangeRefused(
        "revision_conflict",
        f"{subject} was made against revision {base}, but {winning_change}"
        f" was accepted first and revision {history.revision} is in force;"
        " submit again",
    )


def _put_in_force(
    history: ConfigurationHistory,
    content: configuration.Configuration,
    operator: str,
) -> None:
    next_revision = ids.Revision(history.revision + 1)
    invariants.require_rising_revision(history.revision, next_revision)
    _insert_bounded(history.winner_by_base, history.revision, next_revision)
    _insert_bounded(history.operator_by_revision, next_revision, operator)
    history.revision = next_revision
    _insert_bounded(
        history.content_by_revision,
        next_revision,
        content,
        MAX_RETAINED_REVISIONS,
    )


def _insert_bounded(
    value_by_key: dict[Key, typing.Any],
    key: Key,
    value: object,
    limit: int = MAX_ENTRIES,
) -> None:
    value_by_key[key] = value
    while len(value_by_key) > limit:
        del value_by_key[next(iter(value_by_key))]


def _append_audit(
    history: ConfigurationHistory,
    draft: commands.SubmitDraft | None,
    action: states.ChangeAction,
    change: Change,
) -> None:
    answers = draft.answers_toml if draft else ""
    is_submission = action is states.ChangeAction.SUBMIT
    history.audit_count += 1
    history.audit.append(
        messages.AuditEntry(
            number=history.audit_count,
            at_ms=change.at_ms,
            operator=change.operator,
            action=action,
            draft_id=draft.draft_id if draft else ids.DraftId(""),
            revision=history.revision,
            answers_digest=hashlib.sha256(answers.encode()).hexdigest(),
            differences=draft.differences if draft else (),
            answers_toml=answers if is_submission else "",
        )
    )
