"""Drafts, revisions and the audit trail, as a deterministic state."""

import dataclasses
import hashlib

from oriolejunction import configuration
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import messages
from oriolejunction import states

Change = messages.SubmitDraft | messages.AcceptDraft | messages.WithdrawChange


@dataclasses.dataclass
class ConfigurationHistory:
    """What the committed changes add up to.

    `audit` holds the entries not drained yet, `audit_count` how many there
    ever were.
    """

    revision: ids.Revision = ids.NO_REVISION
    content_by_revision: dict[ids.Revision, configuration.Configuration] = (
        dataclasses.field(default_factory=dict)
    )
    draft_by_id: dict[ids.DraftId, messages.SubmitDraft] = dataclasses.field(
        default_factory=dict
    )
    result_by_operation: dict[ids.OperationId, messages.CommandResult] = (
        dataclasses.field(default_factory=dict)
    )
    winner_by_base: dict[ids.Revision, ids.Revision] = dataclasses.field(
        default_factory=dict
    )
    audit_count: int = 0
    audit: list[messages.AuditEntry] = dataclasses.field(default_factory=list)

    @property
    def content(self) -> configuration.Configuration | None:
        """Return the configuration in force."""
        return self.content_by_revision.get(self.revision)


def apply_change(
    history: ConfigurationHistory, change: Change
) -> messages.CommandResult:
    """Apply a committed change; a resent one gets its first result."""
    known = history.result_by_operation.get(change.operation_id)
    if known is not None:
        return known
    match change:
        case messages.SubmitDraft():
            result = _submit(history, change)
        case messages.AcceptDraft():
            result = _accept(history, change)
        case messages.WithdrawChange():
            result = _withdraw(history, change)
    history.result_by_operation[change.operation_id] = result
    return result


def _submit(
    history: ConfigurationHistory, change: messages.SubmitDraft
) -> messages.CommandResult:
    history.draft_by_id[change.draft_id] = change
    _record(history, change, states.ChangeAction.SUBMIT, change)
    return messages.ChangeAccepted(
        change.draft_id, history.revision, change.differences
    )


def _accept(
    history: ConfigurationHistory, change: messages.AcceptDraft
) -> messages.CommandResult:
    draft = history.draft_by_id.get(change.draft_id)
    if draft is None:
        return messages.ChangeRefused(
            "unknown_draft", f"there is no draft {change.draft_id}"
        )
    if draft.base_revision != history.revision:
        winner = history.winner_by_base.get(draft.base_revision)
        return messages.ChangeRefused(
            "revision_conflict",
            f"draft {draft.draft_id} was made against revision"
            f" {draft.base_revision}, but revision {winner} was accepted"
            f" first and {history.revision} is in force; submit again",
        )
    _put_in_force(history, draft.configuration)
    _record(history, draft, states.ChangeAction.ACCEPT, change)
    return messages.ChangeAccepted(
        draft.draft_id, history.revision, draft.differences
    )


def _withdraw(
    history: ConfigurationHistory, change: messages.WithdrawChange
) -> messages.CommandResult:
    draft = history.draft_by_id.pop(ids.DraftId(change.target), None)
    if draft is not None:
        _record(history, draft, states.ChangeAction.WITHDRAW, change)
        return messages.ChangeAccepted(draft.draft_id, history.revision)
    if change.target != str(history.revision) or history.revision < 2:
        return messages.ChangeRefused(
            "unknown_draft",
            f"{change.target} is neither a draft nor the revision in force"
            " with one before it",
        )
    before = history.content_by_revision[ids.Revision(history.revision - 1)]
    _put_in_force(history, before)
    _record(history, None, states.ChangeAction.WITHDRAW, change)
    return messages.ChangeAccepted(ids.DraftId(""), history.revision)


def _put_in_force(
    history: ConfigurationHistory, content: configuration.Configuration
) -> None:
    following = ids.Revision(history.revision + 1)
    invariants.require_rising_revision(history.revision, following)
    history.winner_by_base[history.revision] = following
    history.revision = following
    history.content_by_revision[following] = content


def _record(
    history: ConfigurationHistory,
    draft: messages.SubmitDraft | None,
    action: states.ChangeAction,
    change: Change,
) -> None:
    answers = draft.answers_toml if draft else ""
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
        )
    )
