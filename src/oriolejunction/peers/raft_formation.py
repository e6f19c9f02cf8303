"""Forms the Raft group at the first start, later joins and repairs it.

One of the listed replicas (`first_group`) creates a group, and only after
every listed replica has reported that it has none. A replica whose disk was
wiped therefore joins the existing group or waits. No replica creates an empty
group while another listed replica is a member or does not answer; the latter
may be left out where disks tell that they date from the first start.
"""

import asyncio
import collections.abc
import math

import grpc
import structlog

from oriolejunction import clock as clocks
from oriolejunction.consensus import first_group
from oriolejunction.consensus import identity as identities
from oriolejunction.consensus import raft_messages
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import types
from oriolejunction.peers import raft_methods
from oriolejunction.peers import raft_service
from oriolejunction.peers import raft_transport

POLL_INTERVAL_MS = 200
CALL_TIMEOUT_S = 0.5
REJOIN_AFTER_MS = 2_000.0
# Enough for two changes of the membership in a group that is sound.
LEAVE_TIMEOUT_MS = 2_000.0
LEAVE_POLL_MS = 50
_log = structlog.get_logger(__name__)


class GroupFormation:
    """Keeps one replica in its group."""

    def __init__(
        self,
        replica: raft_replica.RaftReplica,
        transport: raft_transport.RaftTransport,
        clock: clocks.Clock,
        addresses: collections.abc.Callable[[], list[str]],
        voter_target: int | None = None,
        form_without_ms: float = math.inf,
    ) -> None:
        """Look for the group at `addresses()`, which may change.

        `voter_target` defaults to the number of initial voters. The group is
        formed without a listed replica that has not answered after
        `form_without_ms`. That is safe only where `initial_voters` of an
        identity prove that its disk was never lost.
        """
        self._replica = replica
        self._transport = transport
        self._clock = clock
        self._addresses = addresses
        self._voter_target = voter_target
        self._all_needed_until_ms = clock.now_ms() + form_without_ms
        self._logged_wait: dict[str, object] | None = None

    async def run(self) -> None:
        """Form, join and repair the group until cancelled."""
        while True:
            if self._replica.group is None:
                await self._find_group()
            elif self._replica.group_changes.needs_rejoin(REJOIN_AFTER_MS):
                await self._join_group(self._known_addresses())
            if self._replica.leader_address() is None:
                await self._send_formation()
            self._replica.group_changes.repair()
            await self._clock.sleep_ms(POLL_INTERVAL_MS)

    async def leave(self) -> None:
        """Before a planned stop, hand over leadership and the vote.

        The vote goes to a learner that has caught up. Without one the
        replica keeps it, since its process may start again.
        """
        replica = self._replica
        await replica.group_changes.transfer_leadership()
        if replica.member.replica not in replica.membership.voter_ids():
            return
        request = raft_messages.Leave(replica.member.replica)
        deadline_ms = self._clock.now_ms() + LEAVE_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            leader = replica.leader_address()
            if leader is not None:
                reply = await self._call(leader, raft_methods.LEAVE, request)
                if reply is not None and reply.done:
                    return
            await self._clock.sleep_ms(LEAVE_POLL_MS)
        _log.warning(
            "stopping with a vote", leader=self._replica.leader_address()
        )

    async def _find_group(self) -> None:
        listed = self._addresses()
        introductions = await self._introductions(listed)
        members = [i for i in introductions.values() if i and i.group]
        if members:
            await self._join_group(i.member.address for i in members)
            return
        creator = first_group.creator(
            listed,
            introductions,
            self._clock.now_ms() < self._all_needed_until_ms,
        )
        if creator == self._replica.member.address:
            voters = self._replica.identity.initial_voters
            answers = (introductions[address] for address in voters)
            await self._form_group([i.member for i in answers if i])
        else:
            self._log_wait(introductions, creator)

    def _log_wait(
        self, introductions: first_group.Introductions, creator: str | None
    ) -> None:
        """Log why this replica has no group and forms none, on changes."""
        wait = {
            "creator": creator,
            "not_reached": [a for a, i in introductions.items() if i is None],
            "first_disks": [
                address
                for address, introduction in introductions.items()
                if introduction is not None and introduction.initial_voters
            ],
        }
        if wait != self._logged_wait:
            self._logged_wait = wait
            _log.warning("no group joined or formed", **wait)

    def _known_addresses(self) -> list[str]:
        members = self._replica.membership.members()
        return [*(m.address for m in members), *self._addresses()]

    async def _introductions(
        self, listed: list[str]
    ) -> first_group.Introductions:
        """Return the answers of the listed replicas and initial voters."""
        initial_voters = self._replica.identity.initial_voters
        addresses = dict.fromkeys((*listed, *initial_voters))
        found = await asyncio.gather(
            *(self._introduction(address) for address in addresses)
        )
        return dict(zip(addresses, found))

    async def _introduction(
        self, address: str
    ) -> raft_messages.Introduction | None:
        if address == self._replica.member.address:
            return raft_service.introduction_of(self._replica)
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
