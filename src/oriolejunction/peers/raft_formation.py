"""Forms the Raft group at the first start, later joins and repairs it.

Only the first of the listed replicas creates a group, and only after every
listed replica has reported that its disk is empty. A replica whose disk was
wiped therefore joins the existing group or waits. It never creates an empty
group while another listed replica is a member or does not answer.
"""

import asyncio
import collections.abc

import grpc
import structlog

from oriolejunction import clock as clocks
from oriolejunction.consensus import identity as identities
from oriolejunction.consensus import raft_messages
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import types
from oriolejunction.peers import raft_methods
from oriolejunction.peers import raft_transport

POLL_INTERVAL_MS = 200
CALL_TIMEOUT_S = 0.5
REJOIN_AFTER_MS = 2_000.0
_log = structlog.get_logger(__name__)


class GroupFormation:
    """Keeps one replica in its group."""

    def __init__(
        self,
        replica: raft_replica.RaftReplica,
        transport: raft_transport.RaftTransport,
        clock: clocks.Clock,
        addresses: collections.abc.Callable[[], list[str]],
        may_form: bool = True,
        voter_target: int | None = None,
    ) -> None:
        """Look for the group at `addresses()`, which may change.

        Without `may_form` the group exists already and is only joined.
        `voter_target` defaults to the number of initial voters.
        """
        self._replica = replica
        self._transport = transport
        self._clock = clock
        self._addresses = addresses
        self._may_form = may_form
        self._voter_target = voter_target
        self._logged_wait: dict[str, object] | None = None

    async def run(self) -> None:
        """Form, join and repair the group until cancelled."""
        while True:
            if self._replica.group is None:
                await self._find_group()
            elif self._replica.needs_rejoin(REJOIN_AFTER_MS):
                await self._join_group(self._known_addresses())
            if self._replica.leader_address() is None:
                await self._send_formation()
            self._replica.group_changes.repair()
            await self._clock.sleep_ms(POLL_INTERVAL_MS)

    async def _find_group(self) -> None:
        introductions = await self._introductions()
        members = [i for i in introductions if i and i.group]
        if members:
            await self._join_group(i.member.address for i in members)
        elif all(introductions) and self._may_create_group():
            await self._form_group([i.member for i in introductions])
        else:
            self._log_wait(introductions)

    def _log_wait(
        self, introductions: list[raft_messages.Introduction | None]
    ) -> None:
        """Log why this replica has no group and forms none, on changes."""
        wait = {
            "may_form": self._may_form,
            "listed": self._addresses(),
            "not_reached": [
                address
                for address, introduction in zip(
                    self._addresses(), introductions
                )
                if introduction is None
            ],
        }
        if wait != self._logged_wait:
            self._logged_wait = wait
            _log.warning("no group joined or formed", **wait)

    def _known_addresses(self) -> list[str]:
        members = self._replica.membership.members()
        return [*(m.address for m in members), *self._addresses()]

    def _may_create_group(self) -> bool:
        return (
            self._may_form
            and self._addresses()[0] == self._replica.member.address
        )

    async def _introductions(
        self,
    ) -> list[raft_messages.Introduction | None]:
        return await asyncio.gather(
            *(self._introduction(address) for address in self._addresses())
        )

    async def _introduction(
        self, address: str
    ) -> raft_messages.Introduction | None:
        if address == self._replica.member.address:
            return raft_messages.Introduction(
                self._replica.member, self._replica.group
            )
        return await self._call(
            address, raft_methods.HELLO, raft_messages.Hello()
        )

    async def _form_group(self, members: list[types.Member]) -> None:
        group = identities.new_group_id()
        membership = types.Membership(
            tuple(members), voter_target=self._voter_target or len(members)
        )
        _log.warning("forming a group", voters=[m.instance for m in members])
        self._replica.form_group(group, membership)
        await self._send_formation()
        self._replica.campaign_soon()

    async def _send_formation(self) -> None:
        """Send the group to the other initial voters, which may lack it.

        The membership names the voters by identity, so a replica whose disk
        was wiped since then does not become a voter.
        """
        membership = self._replica.group_changes.initial_membership()
        if membership is None:
            return
        request = raft_messages.Form(self._replica.group, membership)
        await asyncio.gather(
            *(
                self._call(member.address, raft_methods.FORM, request)
                for member in membership.voters
                if member.replica != self._replica.member.replica
            )
        )

    async def _join_group(self, addresses) -> None:
        request = raft_messages.Join(self._replica.member)
        tried = set()
        untried = list(addresses)
        while untried:
            address = untried.pop()
            if address in tried or address == self._replica.member.address:
                continue
            tried.add(address)
            reply = await self._call(address, raft_methods.JOIN, request)
            if reply is None:
                continue
            if reply.leader_address is not None:
                untried.append(reply.leader_address)
            if reply.accepted:
                self._replica.join_as_learner(reply.group)
                return

    async def _call(self, address: str, method, request):
        call = self._transport.stub_for(address, method)
        try:
            return await call(request, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError:
            return None
