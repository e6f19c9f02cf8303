"""Enumerations of states, kinds, causes and outcomes."""

import enum


class Outcome(enum.Enum):
    """What a caller may conclude from an error."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class RequestKind(enum.Enum):
    """Kind of a route's requests, which decides if they may be retried."""

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    NEVER_TWICE = "never_twice"


class Objective(enum.Enum):
    """The measure that a deployment puts first."""

    LATENCY = "latency"
    RESOURCES = "resources"


class FinishReason(enum.Enum):
    """Why a generation ended, in the terms of the OpenAI protocol."""

    STOP = "stop"
    LENGTH = "length"


class CommitOutcome(enum.Enum):
    """Result of offering tokens to the commit point."""

    COMMITTED = "committed"
    NOT_OWNER = "not_owner"
    FOREIGN = "foreign"
    DIVERGED = "diverged"
    REPEATED = "repeated"
    GAP = "gap"
    FINISHED = "finished"


class SendRefusal(enum.Enum):
    """Why a request is not sent to a backend server, or not again."""

    DEADLINE = "deadline"
    MAX_ATTEMPTS = "max_attempts"
    CRASHED_ENGINES = "crashed_engines"
    RESEND_BUDGET = "resend_budget"
    INSTANCE_STOPS = "instance_stops"
    NO_CAPACITY = "no_capacity"
    VERSION_WITHDRAWN = "version_withdrawn"


class LossCause(enum.Enum):
    """How an engine lost its attempt at a generation.

    `SILENT` is a stalled engine, `REFUSED` an answer other than 200,
    `LEAVING` one which says that the engine accepts no new work, `FOREIGN`
    an event of another generation or attempt.
    """

    SILENT = "silent"
    DISCONNECTED = "disconnected"
    NOT_REACHED = "not_reached"
    REFUSED = "refused"
    LEAVING = "leaving"
    ENDED_EARLY = "ended_early"
    MALFORMED = "malformed"
    GAP = "gap"
    FOREIGN = "foreign"
    DIVERGED = "diverged"


class EngineState(enum.Enum):
    """Whether an engine may get new work."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"


class ListedState(enum.Enum):
    """State of an engine in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceState(enum.Enum):
    """Lifecycle of one entry instance.

    A leaving instance is not ready but accepts requests until the load
    balancer has noticed; a draining one only finishes requests in flight.
    """

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


class JournalRefusal(enum.Enum):
    """Why a journal replica refused a record or a takeover."""

    UNKNOWN = "unknown"
    FENCED = "fenced"
    GAP = "gap"
    FINISHED = "finished"
    FULL = "full"
    OTHER_REQUEST = "other_request"
    NO_BOUNDARY = "no_boundary"


class CallState(enum.Enum):
    """State of a non-idempotent call in the ledger."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"
    VOID = "void"
    UNKNOWN = "unknown"


class KeyRefusal(enum.Enum):
    """Why an idempotency key can't be added to the ledger."""

    EXPIRED = "expired"
    EARLY = "early"
    USED = "used"
    NO_ROOM = "no_room"


class OriginSource(enum.Enum):
    """How the software version of a resumed stream is known."""

    OWN = "own"
    CONTROL = "control"
    SINGLE_VERSION = "single_version"
    UNKNOWN = "unknown"


class OrderAction(enum.Enum):
    """What an engine is ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"


class OrderRefusal(enum.Enum):
    """Why an order may not be given."""

    NOT_EXECUTOR = "not_executor"
    OUTSTANDING = "outstanding"
    STORE_LIMIT = "store_limit"
    LAST_COPY = "last_copy"
    RESOLVED = "resolved"


class ChangeAction(enum.Enum):
    """What an operator did to the configuration."""

    SUBMIT = "submit"
    ACCEPT = "accept"
    WITHDRAW = "withdraw"


class StreamAttemptEnd(enum.Enum):
    """How one engine's part of a streamed answer ended."""

    COMPLETE = "complete"
    LOST = "lost"
    REFUSED = "refused"


class RolloutState(enum.Enum):
    """State of a rollout, as an operator reads it."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutPhase(enum.Enum):
    """What entry instances may send to the versions of a rollout.

    OBSERVING: to the target within an allowance. MOVING: new work only to
    the target; the old servers finish what runs. DONE: nothing to the old
    versions. REVERTED: nothing to the target.
    """

    OBSERVING = "observing"
    MOVING = "moving"
    DONE = "done"
    REVERTED = "reverted"


class RolloutVerdict(enum.Enum):
    """What the answers so far say about the target of a rollout.

    SUSPECT: too many bad answers for a move, too few to go back.
    """

    GOOD = "good"
    UNDECIDED = "undecided"
    SUSPECT = "suspect"
    BAD = "bad"


class RolloutRefusal(enum.Enum):
    """Why a command about a rollout was refused."""

    OTHER_IN_PROGRESS = "other_in_progress"
    NOT_IN_PROGRESS = "not_in_progress"
    WRONG_PHASE = "wrong_phase"
    OVER_CEILING = "over_ceiling"


class RolloutMeasure(enum.IntEnum):
    """What the latencies of a rollout count measure.

    ANSWER is the time of a call, or a stream's time to its first event per
    thousand prompt tokens; EVENT is a stream's time per event.
    """

    ANSWER = 0
    EVENT = 1
