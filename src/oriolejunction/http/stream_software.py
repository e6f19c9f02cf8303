"""Keeps one stream on one software version of its service's engines."""

from oriolejunction import backends
from oriolejunction.controllers import event_answer
from oriolejunction.controllers import rollout_use
from oriolejunction.controllers import software_choice
from oriolejunction import errors
from oriolejunction import fleet_messages as fm
from oriolejunction.http import admitted_request
from oriolejunction.http import gateway_common
from oriolejunction import ids

# Longer ids are not recorded, so that the records stay small.
MAX_ID_LENGTH = 128


class StreamSoftware:
    """Records and enforces the software version of one stream.

    `origin_id` is the id of the request that began it.
    """

    def __init__(
        self,
        deps: gateway_common.GatewayDependencies,
        admitted: admitted_request.AdmittedRequest,
        answer: event_answer.EventAnswer,
        use: rollout_use.RolloutUse,
    ) -> None:
        self._deps = deps
        self._admitted = admitted
        self._answer = answer
        self._use = use
        use.begun_at = lambda: answer.software
        self._recorded = software_choice.RecordedSoftware(
            software_choice.FORWARDED_NUMBER if admitted.from_peer else 0
        )
        request = admitted.request
        resumed_id = request.resumes if request.last_event else None
        self.origin_id = resumed_id or request.request_id
        self._run = (self, self.origin_id)

    async def resume(self) -> None:
        """Fix the version of a stream that its caller takes up again.

        Raise `Failure` with `NoCapacity` if the version is not known or no
        engine of it is listed.
        """
        if not self._admitted.request.last_event:
            return
        origins = self._deps.origins
        service = self._admitted.service.name
        own = origins.own(self.origin_id)
        reply = None
        if own is None:
            reply = await origins.lookup(self.origin_id, service)
        resumption = software_choice.choose_for_resumption(
            own,
            reply,
            origins.history.versions(service),
            origins.history.covered_ms,
            origins.retention.kept_ms,
        )
        software = resumption.software
        listed = any(
            each.software == software
            for each in self._deps.view.listed(service)
        )
        gateway_common.log_decision(
            self._admitted,
            "stream taken up",
            resumes=self.origin_id,
            software=software,
            source=resumption.source.value,
            control_answered=reply is not None,
            by_majority=reply is not None and reply.by_majority,
            versions=sorted(origins.history.versions(service)),
            told_versions=reply and reply.versions,
            covered_ms=round(origins.history.covered_ms),
            told_covered_ms=reply and round(reply.covered_ms),
            allowed=software is not None and listed,
        )
        if software is None:
            raise self._not_run("the stream's software version is not known")
        self._record_resumed(software, resumption.number)
        if not listed:
            raise self._not_run(
                f"no engine of software version {software!r} is listed"
            )
        self._answer.software = software
        if self._deps.rollouts.is_barred(self._use):
            raise self._not_run(
                f"software version {software!r} is used no more"
            )

    def _record_resumed(
        self, software: ids.SoftwareVersion, number: int
    ) -> None:
        """Record the stream, also under the id of the request at hand.

        A caller may name that one when it takes the stream up once more.
        """
        for request_id in (self.origin_id, self._admitted.request.request_id):
            if self._is_recordable(request_id):
                self._deps.origins.record(
                    fm.StreamOrigin(request_id, software, number),
                    run=(self, request_id),
                )

    @property
    def excludes_engines(self) -> bool:
        """Return whether engines of some versions are left out."""
        if self._deps.rollouts.is_in_progress(self._use.service):
            return True
        software = self._answer.software
        return software is not None and any(
            each.software != software
            for each in self._deps.view.listed(self._admitted.service.name)
        )

    def preferences(self) -> tuple[ids.SoftwareVersion | None, ...]:
        """Return the versions to place the stream at, the best one first."""
        return self._recorded.preferences(self._answer.software)

    async def record(self, backend: backends.Backend) -> bool:
        """Record an attempt's version; return whether it may be sent.

        Only a change of the version has to be acknowledged first.
        """
        software = backend.software
        if (
            self._answer.software is not None
            or software == self._recorded.software
            or not self._is_recordable(self.origin_id)
        ):
            return True
        origins = self._deps.origins
        origin = self._recorded.next_origin(self.origin_id, software)
        if not self._recorded.is_change(software):
            self._recorded.software = software
            origins.record(origin, run=self._run)
            return True
        is_confirmed = await origins.confirm(origin, run=self._run)
        gateway_common.log_decision(
            self._admitted,
            "software version changes",
            before=self._recorded.software,
            software=software,
            allowed=is_confirmed,
        )
        if is_confirmed:
            self._recorded.software = software
            return True
        # A replica may have recorded the change without an answer.
        self._recorded.keep()
        origins.record(
            self._recorded.next_origin(
                self.origin_id, self._recorded.software
            ),
            run=self._run,
        )
        return False

    def end(self, is_complete: bool) -> None:
        """Renew the record no more, once the stream runs here no more."""
        has_events = self._answer.last_event > 0
        for request_id in (self.origin_id, self._admitted.request.request_id):
            self._deps.origins.end((self, request_id), is_complete, has_events)

    def _is_recordable(self, request_id: ids.RequestId) -> bool:
        return (
            self._admitted.route.resumable
            and 0 < len(request_id) <= MAX_ID_LENGTH
        )

    def _not_run(self, message: str) -> errors.Failure:
        return errors.Failure(
            errors.NoCapacity(
                message,
                retry_after_ms=self._deps.returns.return_after_ms(
                    self._admitted.service.name,
                    self._admitted.deadline_ms - self._deps.clock.now_ms(),
                ),
            )
        )
