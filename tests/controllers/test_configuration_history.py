"""Changes of concurrent operators are never lost, repeated or reverted."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from oriolejunction import commands
from oriolejunction.controllers import control_state
from oriolejunction import ids
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction.questionnaire import generate
from oriolejunction import states

OPERATORS = ("mika", "goro")


def _content(number):
    return generate.build_configuration(
        answer_files.Answers(
            measure=states.Objective.LATENCY,
            zones=(f"zone-{number}",),
            workspaces=(answer_files.WorkspaceAnswer("w", "key"),),
        )
    )


def _submit(base, number, operator="mika"):
    draft = ids.DraftId(f"d-{base}-{number}")
    return commands.SubmitDraft(
        operation_id=ids.OperationId(f"submit:{draft}"),
        draft_id=draft,
        base_revision=base,
        configuration=_content(number),
        answers_toml=f"zone-{number}",
        differences=(),
        operator=operator,
        at_ms=1,
    )


def _accept(draft, operator="mika"):
    return commands.AcceptDraft(
        ids.OperationId(f"accept:{draft}"), ids.DraftId(draft), operator, 2
    )


def _withdraw(target, operator="mika"):
    return commands.WithdrawChange(
        ids.OperationId(f"withdraw:{target}"), str(target), operator, 3
    )


class HistoryMachine(stateful.RuleBasedStateMachine):
    """Two operators, resends of any earlier command, and restarts."""

    def __init__(self):
        super().__init__()
        self.state = control_state.ControlState()
        self.sent = []
        self.first_result_by_operation = {}
        self.contents = [None]
        self.audit_log = []

    def _apply(self, command):
        before = self.state.history.revision
        result = control_state.apply(self.state, command)
        after = self.state.history.revision
        assert after in (before, before + 1)
        if after > before:
            assert isinstance(result, commands.ChangeAccepted)
            assert result.revision == after
            assert command.operation_id not in self.first_result_by_operation
            self.first_result_by_operation[command.operation_id] = result
            self.contents.append(self._expected(command))
        elif command.operation_id in self.first_result_by_operation:
            first = self.first_result_by_operation[command.operation_id]
            assert result == first
        self.audit_log += control_state.drain_audit(self.state)
        self.sent.append(command)

    def _expected(self, command):
        if isinstance(command, commands.AcceptDraft):
            number = int(command.draft_id.rpartition("-")[2])
            return _content(number)
        return self.contents[-2]

    @stateful.rule(
        number=strategies.integers(0, 3),
        operator=strategies.sampled_from(OPERATORS),
        lag=strategies.integers(0, 1),
    )
    def submit(self, number, operator, lag):
        base = max(0, self.state.history.revision - lag)
        self._apply(_submit(ids.Revision(base), number, operator))

    @stateful.rule(
        number=strategies.integers(0, 3),
        operator=strategies.sampled_from(OPERATORS),
        lag=strategies.integers(0, 1),
    )
    def accept(self, number, operator, lag):
        base = max(0, self.state.history.revision - lag)
        self._apply(_accept(f"d-{base}-{number}", operator))

    @stateful.rule(
        operator=strategies.sampled_from(OPERATORS),
        lag=strategies.integers(0, 1),
    )
    def withdraw_revision(self, operator, lag):
        revision = max(0, self.state.history.revision - lag)
        self._apply(_withdraw(revision, operator))

    @stateful.rule(number=strategies.integers(0, 3))
    def withdraw_draft(self, number):
        base = self.state.history.revision
        self._apply(_withdraw(f"d-{base}-{number}"))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=strategies.data())
    def resend(self, data):
        self._apply(data.draw(strategies.sampled_from(self.sent)))

    @stateful.rule()
    def restart(self):
        self.state = control_state.load(control_state.dump(self.state))

    @stateful.invariant()
    def content_results_from_the_changes(self):
        assert self.state.history.content == self.contents[-1]

    @stateful.invariant()
    def audit_log_is_complete(self):
        numbers = [entry.number for entry in self.audit_log]
        assert numbers == list(range(1, len(self.audit_log) + 1))
        revisions = [
            entry.revision
            for entry in self.audit_log
            if entry.action is states.ChangeAction.ACCEPT
            or (entry.action is states.ChangeAction.WITHDRAW)
            and entry.draft_id == ""
        ]
        assert revisions == list(range(1, len(self.contents)))


HistoryMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40
)
TestHistory = HistoryMachine.TestCase


def _apply_all(*changes):
    state = control_state.ControlState()
    return state, [control_state.apply(state, c) for c in changes]


def test_conflict_names_the_winning_operator():
    _, results = _apply_all(
        _submit(0, 1),
        _submit(0, 2, "goro"),
        _accept("d-0-2", "goro"),
        _accept("d-0-1"),
    )
    assert isinstance(results[3], commands.ChangeRefused)
    assert "revision 1 by goro" in results[3].message


def test_withdrawn_draft_can_be_submitted_again():
    _, results = _apply_all(
        _submit(0, 1),
        _withdraw("d-0-1"),
        _withdraw("d-0-1"),
        _submit(0, 1),
        _withdraw("d-0-1"),
        _submit(0, 1),
        _accept("d-0-1"),
    )
    assert all(isinstance(r, commands.ChangeAccepted) for r in results)
    assert results[-1].revision == 1


def test_withdrawal_restores_the_previous_content_as_a_new_revision():
    state, results = _apply_all(
        _submit(0, 1),
        _accept("d-0-1"),
        _submit(1, 2),
        _accept("d-1-2"),
        _withdraw("d-1-2"),
        _withdraw("d-1-2"),
    )
    assert [result.revision for result in results[-2:]] == [3, 3]
    assert state.history.content == _content(1)


def test_first_revision_cannot_be_withdrawn():
    state, results = _apply_all(_submit(0, 1), _accept("d-0-1"), _withdraw(1))
    assert isinstance(results[2], commands.ChangeRefused)
    assert state.history.revision == 1


def test_audit_entries_identify_their_answers():
    state, _ = _apply_all(_submit(0, 1, "goro"), _accept("d-0-1"))
    submitted, accepted = state.history.audit
    assert submitted.answers_toml == "zone-1"
    assert submitted.answers_digest == accepted.answers_digest
    assert (submitted.operator, accepted.operator) == ("goro", "mika")
