"""Which engines may be given new work.

An incarnation of an engine that any source reported as leaving stays
leaving. An engine is live only while the platform's list says so and its
load report is fresh. A restart is a new incarnation; an engine that the
list, which lags behind, showed as leaving must be listed as live again first.
"""

import dataclasses

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import engine_protocol
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import states

FRESH_REPORT_MS = 2_500
SUSPICION_MS = 1_000
LEAVING_GRACE_MS = 3_000
MAX_PAST_INCARNATIONS = 16
_WRITER = "membership"


@dataclasses.dataclass
class EngineRecord:
    """Observations of one engine; times are on this instance's clock.

    `leaving_at_ms` applies to the current incarnation only. `listed` is
    true until the platform's list says otherwise.
    """

    incarnation: ids.Incarnation | None = None
    past_incarnations: tuple[ids.Incarnation, ...] = ()
    seen_at_ms: float | None = None
    leaving_at_ms: float | None = None
    suspected_until_ms: float = 0.0
    listed: bool = True


class Membership:
    """Merge all observations of each engine into one state."""

    def __init__(
        self, blackboard: blackboards.Blackboard, clock: clocks.Clock
    ) -> None:
        self._clock = clock
        self._write_states = blackboard.engine_state_by_id.claim_writer(
            _WRITER
        )
        self._write_reports = blackboard.engine_report_by_id.claim_writer(
            _WRITER
        )
        self._record_by_id: dict[ids.EngineId, EngineRecord] = {}
        self._report_by_id: dict[ids.EngineId, blackboards.EngineReport] = {}

    def retain_only(self, engine_ids: frozenset[ids.EngineId]) -> None:
        """Drop engines that are no longer configured."""
        for engine_id in self._record_by_id.keys() - engine_ids:
            del self._record_by_id[engine_id]
            self._report_by_id.pop(engine_id, None)
        self.refresh()

    def observe_list(
        self, state_by_id: dict[ids.EngineId, states.ListedState]
    ) -> None:
        """Apply the platform's list, which lags behind.

        An engine that is missing from it gets no new work.
        """
        for engine_id in state_by_id:
            self._record(engine_id)
        for engine_id, record in self._record_by_id.items():
            listed = state_by_id.get(engine_id)
            record.listed = listed is states.ListedState.LIVE
            if listed is states.ListedState.LEAVING:
                self._mark_leaving(record)
        self.refresh()

    def observe_report(
        self, report: engine_protocol.LoadReport, sent_at_ms: float
    ) -> None:
        """Apply a load report that was requested at `sent_at_ms`."""
        record = self._record(report.engine_id)
        incarnation = ids.Incarnation(report.incarnation)
        if incarnation in record.past_incarnations:
            return
        if incarnation != record.incarnation:
            _begin_incarnation(record, incarnation)
        record.seen_at_ms = sent_at_ms
        if report.leaving:
            self._mark_leaving(record)
        self._report_by_id[report.engine_id] = blackboards.EngineReport(
            running=report.running,
            waiting=report.waiting,
            tokens_per_s=report.tokens_per_s,
            measured_at_ms=sent_at_ms - report.age_ms,
            max_running=report.max_running,
            kv_tokens=report.kv_tokens,
            kv_limit_tokens=report.kv_limit_tokens,
        )
        self._write_reports(dict(self._report_by_id))
        self.refresh()

    def observe_leaving(
        self,
        engine_id: ids.EngineId,
        incarnation: ids.Incarnation | None = None,
    ) -> None:
        """Apply a refusal by the engine or a notice from a peer.

        A peer names the incarnation. Its notice is ignored if another
        incarnation is current; if none is known, the named one becomes
        current.
        """
        record = self._record(engine_id)
        if incarnation not in (None, record.incarnation):
            if record.incarnation is not None:
                return
            _begin_incarnation(record, incarnation)
        self._mark_leaving(record)
        self.refresh()

    def suspect(
        self, engine_id: ids.EngineId, duration_ms: float = SUSPICION_MS
    ) -> None:
        """Give an engine no new work for `duration_ms` after a loss."""
        record = self._record(engine_id)
        record.suspected_until_ms = max(
            record.suspected_until_ms, self._clock.now_ms() + duration_ms
        )
        self.refresh()

    def refresh(self) -> None:
        """Write the current state of each engine to the blackboard."""
        self._write_states(
            {
                engine_id: self._state(record)
                for engine_id, record in self._record_by_id.items()
            }
        )

    def state(self, engine_id: ids.EngineId) -> states.EngineState:
        """Return the current state of an engine."""
        record = self._record_by_id.get(engine_id)
        if record is None:
            return states.EngineState.SUSPECTED
        return self._state(record)

    def leaving(self) -> dict[ids.EngineId, ids.Incarnation]:
        """Return the leaving incarnations, for gossip to peers."""
        return {
            engine_id: record.incarnation
            for engine_id, record in self._record_by_id.items()
            if record.leaving_at_ms is not None
            and record.incarnation is not None
        }

    def require_may_dispatch(self, engine_id: ids.EngineId) -> None:
        """Assert that an engine about to get work is not leaving.

        Work within `LEAVING_GRACE_MS` after it was marked is allowed.
        """
        record = self._record(engine_id)
        leaving_at_ms = record.leaving_at_ms
        if leaving_at_ms is not None:
            invariants.require_no_work_when_leaving(
                engine_id,
                self._clock.now_ms() - leaving_at_ms,
                LEAVING_GRACE_MS,
            )

    def _record(self, engine_id: ids.EngineId) -> EngineRecord:
        return self._record_by_id.setdefault(engine_id, EngineRecord())

    def _mark_leaving(self, record: EngineRecord) -> None:
        if record.leaving_at_ms is None:
            record.leaving_at_ms = self._clock.now_ms()

    def _state(self, record: EngineRecord) -> states.EngineState:
        if record.leaving_at_ms is not None:
            return states.EngineState.LEAVING
        now_ms = self._clock.now_ms()
        fresh = (
            record.seen_at_ms is not None
            and now_ms - record.seen_at_ms <= FRESH_REPORT_MS
        )
        if fresh and record.listed and now_ms >= record.suspected_until_ms:
            return states.EngineState.LIVE
        return states.EngineState.SUSPECTED


def _begin_incarnation(
    record: EngineRecord, incarnation: ids.Incarnation
) -> None:
    if record.incarnation is not None:
        past = (*record.past_incarnations, record.incarnation)
        record.past_incarnations = past[-MAX_PAST_INCARNATIONS:]
        record.leaving_at_ms = None
        record.suspected_until_ms = 0.0
    record.incarnation = incarnation
