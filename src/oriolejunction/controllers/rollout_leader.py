"""What the control leader does next about one rollout in progress.

Load pattern: a service's requests, streams of some seconds among them, move
to another version within some ten seconds, while instances restart and the
control leader changes. Each step is a command of the replicated log, so a new
leader goes on from the last one. A leader that is new has no windows of
earlier counts and waits before it ends a rollout.
"""

import dataclasses

from oriolejunction import commands
from oriolejunction.controllers import rollout_allowances
from oriolejunction.controllers import rollout_book
from oriolejunction.controllers import rollout_tally
from oriolejunction.controllers import rollout_verdict
from oriolejunction.controllers import rollout_windows
from oriolejunction import node_settings
from oriolejunction import states

# A move leaves this many times the mean duration of a request until the end.
DURATIONS_LEFT = 1.5
# Parts of the time asked: the earliest and latest planned move, and the last
# time for a move. A version may turn bad in the first half.
EARLIEST_MOVE, LATEST_PLANNED_MOVE, LAST_MOVE = 0.45, 0.65, 0.75
# Nothing can be taken back after the end, so it is not before MIN_END.
# From END on, FEW_LEFT requests that still run on old servers no longer delay
# the end; at LAST_END it is due, and those left break.
MIN_END, END, LAST_END, FEW_LEFT = 0.8, 0.9, 0.93, 2
# Time that taking back needs before the deadline, but not the first half.
TAKE_BACK_MS = 3_000.0
MIN_LAST_MOVE = 0.5
# A report that arrives this long after a change was sent by an instance that
# knew it: a watch reply takes 100 ms, an old report in a relay 500 ms.
PROPAGATION_MS = 600.0
# To go back takes this long unless an instance is lost. A target that is
# suspect this long before the deadline is not completed.
USUAL_TAKE_BACK_MS = 2_000.0
# Counts that do not rise for this long will not; a report comes at least once
# a second and on each change.
SETTLE_MS = 600.0
# An instance without a report for longer is lost, and so is its work.
LOST_MS = 3_000.0
RECENT_MS = 3_000.0
MIN_RECENT_ANSWERS = 2
# A new leader must have had reports for this long before it completes.
MIN_WATCH_MS = 1_000.0
# With fewer servers than this part of the old ones, the target can't take all
# requests.
MIN_SERVER_PART = 0.5
# A command of the log stays small with thousands of routes.
MAX_EVIDENCE = 2_000

Step = commands.GrantExposure | commands.MoveRollout | commands.DecideRollout


@dataclasses.dataclass(frozen=True)
class Observation:
    """What the leader sees of one rollout now.

    `hold_ms` is the longest time for which an instance may act on an order
    that has changed. Servers are those on the list that aren't leaving.
    """

    now_ms: float
    elapsed_ms: float
    counts: rollout_tally.CountsByRoute
    instances: tuple[rollout_tally.InstanceCounts, ...]
    target_servers: int
    old_servers: int
    hold_ms: float
    in_force: bool = False


class RolloutLeader:
    """Leads one rollout; `finding` is the newest comparison."""

    def __init__(self, bounds: node_settings.RolloutBounds) -> None:
        self._bounds = bounds
        self._started_ms: float | None = None
        self._phase: states.RolloutPhase | None = None
        self._phase_since_ms = 0.0
        self._before_move: rollout_verdict.Window = {}
        self._history = rollout_windows.WindowHistory()
        self._running_ms = 0.0
        self._stepped_ms: float | None = None
        self._target_quiet = rollout_windows.Quiet()
        self._old_quiet = rollout_windows.Quiet()
        self.finding = rollout_verdict.Finding()
        self.waits_for = ""
        self.limit = 0
        self._is_good = False

    @property
    def verdict(self) -> states.RolloutVerdict:
        """Return what the answers so far say."""
        found = self.finding.verdict
        if self._is_good and found is states.RolloutVerdict.UNDECIDED:
            return states.RolloutVerdict.GOOD
        return found

    def step(
        self, rollout: rollout_book.Rollout, seen: Observation
    ) -> Step | None:
        """Return the next command, None while nothing changes."""
        if self._started_ms is None:
            self._started_ms = seen.now_ms
        if rollout.phase is not self._phase:
            self._phase, self._phase_since_ms = rollout.phase, seen.now_ms
        window = rollout_windows.pair_counts(seen.counts, rollout.target)
        self._observe_running(window, seen)
        match rollout.phase:
            case states.RolloutPhase.OBSERVING:
                step = self._observe(rollout, seen, window)
            case states.RolloutPhase.MOVING:
                step = self._finish_move(rollout, seen, window)
            case _:
                step = self._finish_reversal(rollout, seen, window)
        self._history.record(window, seen.now_ms)
        return step

    def _observe_running(
        self, window: rollout_verdict.Window, seen: Observation
    ) -> None:
        if self._stepped_ms is not None:
            running = sum(
                pair.old.sent - pair.old.ended for pair in window.values()
            )
            self._running_ms += running * (seen.now_ms - self._stepped_ms)
        self._stepped_ms = seen.now_ms

    def _times_ms(
        self, rollout: rollout_book.Rollout, window: rollout_verdict.Window
    ) -> tuple[float, float]:
        """Return the planned and the last time for a move."""
        duration_ms = rollout.duration_ms
        ended = sum(pair.old.ended for pair in window.values())
        # Requests from before the order make the count begin below zero.
        mean_ms = self._running_ms / max(1, ended)
        last_ms = max(
            MIN_LAST_MOVE * duration_ms,
            min(LAST_MOVE * duration_ms, duration_ms - TAKE_BACK_MS),
        )
        planned_ms = min(
            max(
                END * duration_ms - DURATIONS_LEFT * mean_ms,
                EARLIEST_MOVE * duration_ms,
            ),
            LATEST_PLANNED_MOVE * duration_ms,
        )
        return min(planned_ms, last_ms), last_ms

    def _observe(
        self,
        rollout: rollout_book.Rollout,
        seen: Observation,
        window: rollout_verdict.Window,
    ) -> Step | None:
        if seen.in_force and seen.target_servers:
            return self._move(
                rollout, states.RolloutPhase.MOVING, "already in force", window
            )
        self.finding = rollout_verdict.compare(
            self._history.windows(window, seen.now_ms), moved=False
        )
        planned_ms, last_ms = self._times_ms(rollout, window)
        if self.finding.verdict is states.RolloutVerdict.BAD:
            return self._move(
                rollout,
                states.RolloutPhase.REVERTED,
                f"bad: {self.finding.detail}",
                window,
            )
        self.waits_for = self._wait_reason(seen, window, planned_ms, last_ms)
        if not self.waits_for:
            self._is_good = True
            return self._move(
                rollout, states.RolloutPhase.MOVING, "good", window
            )
        if seen.elapsed_ms >= last_ms:
            return self._move(
                rollout,
                states.RolloutPhase.REVERTED,
                f"no good verdict in time: {self.waits_for}",
                window,
            )
        return self._grant(rollout, seen, window, last_ms)

    def _wait_reason(
        self,
        seen: Observation,
        window: rollout_verdict.Window,
        planned_ms: float,
        last_ms: float,
    ) -> str:
        """Return why the move has to wait, an empty string if it needn't."""
        if seen.elapsed_ms < planned_ms:
            return "time of the move"
        if seen.target_servers < MIN_SERVER_PART * seen.old_servers or (
            not seen.target_servers
        ):
            return f"{seen.target_servers} servers run the target"
        if self.finding.verdict is states.RolloutVerdict.SUSPECT:
            return f"suspect: {self.finding.detail}"
        waited = (seen.elapsed_ms - planned_ms) / max(
            1.0, last_ms - planned_ms
        )
        missing = rollout_verdict.missing_evidence(window, waited)
        if missing:
            return missing
        recent = self._history.since(window, seen.now_ms - RECENT_MS)
        count = rollout_windows.target_answers(recent or window)
        if count < MIN_RECENT_ANSWERS and waited < 1.0:
            return f"{count} answers of late"
        return ""

    def _grant(
        self,
        rollout: rollout_book.Rollout,
        seen: Observation,
        window: rollout_verdict.Window,
        last_ms: float,
    ) -> Step | None:
        requests = sum(
            pair.old.sent + pair.target.sent for pair in window.values()
        )
        self.limit = rollout_allowances.limit(
            self._bounds, requests, seen.elapsed_ms / last_ms
        )
        if not seen.target_servers:
            return None
        grants = rollout_allowances.next_grants(
            rollout,
            seen.instances,
            self.limit,
            seen.now_ms,
            seen.elapsed_ms,
        )
        if not grants:
            return None
        return commands.GrantExposure(
            rollout.service, rollout.number, self.limit, grants
        )

    def _finish_move(
        self,
        rollout: rollout_book.Rollout,
        seen: Observation,
        window: rollout_verdict.Window,
    ) -> Step | None:
        if not self._before_move:
            # A new leader takes what all have counted so far.
            self._before_move = rollout_windows.copy_window(window)
        windows = [
            rollout_windows.with_old(each, self._before_move)
            for each in self._history.windows(window, seen.now_ms)
        ]
        if not seen.in_force:
            self.finding = rollout_verdict.compare(windows, moved=True)
        if self.finding.verdict is states.RolloutVerdict.BAD:
            return self._move(
                rollout,
                states.RolloutPhase.REVERTED,
                f"bad after the move: {self.finding.detail}",
                window,
            )
        if seen.old_servers and not seen.target_servers:
            return self._move(
                rollout,
                states.RolloutPhase.REVERTED,
                "no server runs the target any more",
                window,
            )
        running, sent = _old_work(seen, rollout.target)
        quiet_ms = self._old_quiet.for_ms(sent, seen.now_ms)
        part = seen.elapsed_ms / rollout.duration_ms
        if seen.now_ms - self._started_ms < MIN_WATCH_MS:
            self.waits_for = "reports to a new leader"
            return None
        if self.finding.score < rollout_verdict.NOT_COMPLETED_SCORE:
            self.waits_for = f"suspect: {self.finding.detail}"
            left_ms = rollout.duration_ms - seen.elapsed_ms
            if part < MIN_END or left_ms > USUAL_TAKE_BACK_MS:
                return None
            return self._move(
                rollout,
                states.RolloutPhase.REVERTED,
                f"no good verdict in time: {self.waits_for}",
                window,
            )
        self.waits_for = f"{running} requests on old servers"
        if part >= LAST_END or part >= END and running <= FEW_LEFT:
            return self._decide(
                rollout,
                states.RolloutState.COMPLETED,
                f"time is up with {running} requests on old servers",
                window,
            )
        if part < MIN_END and not seen.in_force:
            return None
        if not running and quiet_ms >= SETTLE_MS and self._all_heard(seen):
            return self._decide(
                rollout,
                states.RolloutState.COMPLETED,
                "no work on old servers",
                window,
            )
        return None

    def _finish_reversal(
        self,
        rollout: rollout_book.Rollout,
        seen: Observation,
        window: rollout_verdict.Window,
    ) -> Step | None:
        sent = sum(
            each.sent_by_software.get(rollout.target, 0)
            for each in seen.instances
        )
        quiet_ms = self._target_quiet.for_ms(sent, seen.now_ms)
        waited_ms = seen.now_ms - self._phase_since_ms
        self.waits_for = "instances to stop"
        # Without an allowance or a move nobody may have sent anything.
        never_allowed = not rollout.granted and not seen.in_force
        if (
            never_allowed
            or waited_ms >= seen.hold_ms
            or (quiet_ms >= SETTLE_MS and self._all_heard(seen))
        ):
            return self._decide(
                rollout,
                states.RolloutState.ROLLED_BACK,
                rollout.reason,
                window,
            )
        return None

    def _all_heard(self, seen: Observation) -> bool:
        """Return whether each instance has reported since the phase began.

        Before, it may act on the order of the phase before. An instance
        without a report for long is lost, unless it may still hold an order.
        """
        heard_from_ms = self._phase_since_ms + PROPAGATION_MS
        return seen.now_ms >= heard_from_ms and all(
            each.received_ms >= heard_from_ms
            or seen.now_ms - each.received_ms > max(LOST_MS, seen.hold_ms)
            for each in seen.instances
        )

    def _move(
        self,
        rollout: rollout_book.Rollout,
        phase: states.RolloutPhase,
        reason: str,
        window: rollout_verdict.Window,
    ) -> commands.MoveRollout:
        evidence = self._evidence(window)
        return commands.MoveRollout(
            rollout.service, rollout.number, phase, reason, evidence
        )

    def _decide(
        self,
        rollout: rollout_book.Rollout,
        state: states.RolloutState,
        reason: str,
        window: rollout_verdict.Window,
    ) -> commands.DecideRollout:
        evidence = self._evidence(window)
        return commands.DecideRollout(
            rollout.service, rollout.number, state, reason, evidence
        )

    def _evidence(self, window: rollout_verdict.Window) -> str:
        """Return the counts and the score behind a decision."""
        routes = "; ".join(
            f"{route}: old {pair.old.sent}/{pair.old.ended}/{pair.old.failed}"
            f" target {pair.target.sent}/{pair.target.ended}"
            f"/{pair.target.failed}"
            for route, pair in sorted(window.items())
        )
        return (f"score {self.finding.score:.2g}; sent/ended/failed {routes}")[
            :MAX_EVIDENCE
        ]


def _old_work(seen: Observation, target) -> tuple[int, int]:
    """Return the requests that run on old servers, and all sent there."""
    running = sent = 0
    for each in seen.instances:
        lost = seen.now_ms - each.received_ms > LOST_MS
        for software, count in each.sent_by_software.items():
            if software != target:
                sent += count
                if not lost:
                    running += each.running_by_software[software]
    return running, sent
