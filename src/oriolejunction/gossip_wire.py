"""Typed messages of the gossip between instances."""

from oriolejunction import ids
from oriolejunction import message_base


class LeavingEngine(message_base.Message, frozen=True):
    """An incarnation of an engine that is leaving."""

    engine_id: ids.EngineId
    incarnation: ids.Incarnation


class StrikeRecord(message_base.Message, frozen=True):
    """A request that was running on an engine lost `age_ms` ago."""

    fingerprint: ids.Fingerprint
    engine_id: ids.EngineId
    zone: ids.ZoneId
    age_ms: float
    dispatched_age_ms: float
    offset: int
    suspect: bool


class TimedFingerprint(message_base.Message, frozen=True):
    """A request's fingerprint with a time left or an age, in ms."""

    fingerprint: ids.Fingerprint
    duration_ms: float


class IsolatedRequest(message_base.Message, frozen=True):
    """A request with strikes that runs alone on an engine."""

    fingerprint: ids.Fingerprint
    engine_id: ids.EngineId


class GossipRequest(message_base.Message, frozen=True):
    """What an instance knows of engines and of requests that crash them.

    `refused` has the time left of each refusal, `cleared` the time since
    each request was cleared. Times are durations, because clocks of two
    instances are never compared.
    """

    sender: ids.InstanceId
    leaving: tuple[LeavingEngine, ...] = ()
    strikes: tuple[StrikeRecord, ...] = ()
    refused: tuple[TimedFingerprint, ...] = ()
    cleared: tuple[TimedFingerprint, ...] = ()
    isolated: tuple[IsolatedRequest, ...] = ()


class GossipReply(message_base.Message, frozen=True):
    """The gossip was applied."""
