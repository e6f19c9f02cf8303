"""Turn lost attempts into suspected engines and strikes for requests."""

import collections.abc

from oriolejunction import blackboard as blackboards
from oriolejunction.controllers import membership as memberships
from oriolejunction.controllers import quarantine as quarantines
from oriolejunction.controllers import route_request
from oriolejunction import ids
from oriolejunction import states

_CRASH_CAUSES = frozenset(
    {
        states.LossCause.DISCONNECTED,
        states.LossCause.ENDED_EARLY,
        states.LossCause.SILENT,
    }
)
_SUSPECT_CAUSES = _CRASH_CAUSES | {states.LossCause.REFUSED}


def subscribe(
    blackboard: blackboards.Blackboard,
    membership: memberships.Membership,
    quarantine: quarantines.Quarantine,
    zone_of: collections.abc.Callable[[ids.EngineId], ids.ZoneId],
) -> None:
    """Process each stalled or lost attempt that the runner publishes.

    A stalled attempt counts as a loss as long as it does not continue. An
    attempt that never reached its engine, or that the engine refused or
    answered wrongly, gives no strike, since the request did not crash it.
    """

    def observe(loss: blackboards.AttemptLoss) -> None:
        placement = route_request.Placement(loss.generation, loss.engine_id)
        may_be_crash = loss.cause in _CRASH_CAUSES
        if may_be_crash:
            quarantine.record_loss(placement, zone_of(loss.engine_id))
        else:
            quarantine.record_finish(placement, complete=False)
        if loss.cause is states.LossCause.LEAVING:
            membership.observe_leaving(loss.engine_id)
        elif loss.cause in _SUSPECT_CAUSES or loss.engine_wide:
            membership.suspect(loss.engine_id)

    def observe_stall(stall: blackboards.AttemptLoss) -> None:
        placement = route_request.Placement(stall.generation, stall.engine_id)
        quarantine.record_stall(placement, zone_of(stall.engine_id))
        membership.suspect(stall.engine_id)

    blackboard.attempt_losses.subscribe(observe)
    blackboard.attempt_stalls.subscribe(observe_stall)
