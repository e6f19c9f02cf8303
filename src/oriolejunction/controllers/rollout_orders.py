"""Whether a control replica knows the rollouts of a list of servers.

Load pattern: an operator orders a rollout, the platform lists servers of the
new version at once, and an entry instance gets that list from a replica that
lags. Until the replica has applied the log up to the reading of the list, it
may not know the order that the version belongs to.
"""

from oriolejunction.controllers import rollout_book
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import states

# In OBSERVING and MOVING an order holds for TTL_MS, at most for this part of
# the time in which a bad version must get its last request: the loss of the
# leader takes a replica 500 ms to notice, and half of the time is the aim.
TTL_MS = 2_000.0
MAX_TTL_PART = 0.4
# Allowance while all requests move to the target.
UNLIMITED = 1 << 40


class ListingOrigin:
    """Up to which log index the list here may depend on orders."""

    def __init__(self) -> None:
        self._digest = ""
        self._needed_index: int | None = None
        self._led_since_ms = float("-inf")

    def note_read(
        self, digest: str, last_index: int, leads: bool, now_ms: float
    ) -> None:
        """Record that this replica read the list itself.

        A replica that doesn't lead may lack orders that led to a change.
        """
        if digest == self._digest and self._needed_index is not None:
            return
        self._digest = digest
        self._needed_index = last_index if leads else None
        self._led_since_ms = now_ms

    def note_relayed(self, digest: str, log_index: int) -> None:
        """Record that the leader sent the list with its last log index."""
        if digest == self._digest and self._needed_index is not None:
            return
        self._digest = digest
        self._needed_index = log_index if log_index >= 0 else None
        self._led_since_ms = float("-inf")

    def is_known(self, applied_index: int) -> bool:
        """Return whether all orders behind the list are applied."""
        needed = self._needed_index
        return needed is not None and applied_index >= needed

    def contact_needed_ms(self, now_ms: float, silence_ms: float) -> float:
        """Return how recent the contact to a majority has to be.

        A deposed leader that read a new list must not count as one.
        """
        return min(silence_ms, max(1.0, now_ms - self._led_since_ms))


def ttl_ms(rollback_ms: float) -> float:
    """Return how long an order holds."""
    return min(TTL_MS, MAX_TTL_PART * rollback_ms)


def orders_for(
    book: rollout_book.RolloutBook,
    instance: ids.InstanceId,
    incarnation: str,
    order_ttl_ms: float,
) -> tuple[fm.RolloutOrder, ...]:
    """Return the newest order of each service for an entry instance."""
    return tuple(
        fm.RolloutOrder(
            each.service,
            each.number,
            each.target,
            each.state,
            each.phase,
            _allowance(each, instance, incarnation),
            order_ttl_ms,
        )
        for each in book.newest_by_service.values()
    )


def _allowance(
    rollout: rollout_book.Rollout, instance: ids.InstanceId, incarnation: str
) -> int:
    match rollout.phase:
        case states.RolloutPhase.OBSERVING:
            return rollout.allowance(instance, incarnation)
        case states.RolloutPhase.REVERTED:
            return 0
        case _:
            return UNLIMITED
