"""Control replicas that only serve reports and watches.

Run as ``python -m bench.fleet_replica OWN_ADDRESS ADDRESSES SECONDS``, with
the addresses of all replicas separated by commas. With a profile file as the
fourth argument, the functions that took the most processor time are written
to it.
"""

import asyncio
import collections
import collections.abc
import cProfile
import io
import pathlib
import pstats
import sys
import types
import typing

import grpc

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.consensus import types as raft_types
from oriolejunction.controllers import fleet_hub
from oriolejunction.controllers import published_table
from oriolejunction.controllers import stream_origins
from oriolejunction import ids
from oriolejunction import logs
from oriolejunction.peers import channels
from oriolejunction.peers import fleet_service
from oriolejunction.peers import listing_store
from oriolejunction.peers import rpc
from oriolejunction.platform import configuration_document

Result = typing.TypeVar("Result")

ENGINES = 60
_SUMS = ("fleet_hub", "tracked_sums", "report_counts", "fleet_sums")
_AWAITS_GRPC = ("_serve_session", "_read_session")
SERVICE = ids.ServiceName("llm")


def engines() -> tuple[backends.Backend, ...]:
    """Return the list of backend servers."""
    return tuple(
        backends.Backend(
            ids.BackendId(f"engine-{number:04}-a1b2c3"),
            SERVICE,
            f"10.1.0.{number}:8000",
            ids.ZoneId(f"zone-{number % 3}"),
            slots=8,
        )
        for number in range(ENGINES)
    )


class Follower:
    """A replica that is in touch with a leader and has a table."""

    leader_term = None
    last_index = 0

    def __init__(self, own: str, addresses: list[str]) -> None:
        members = tuple(
            raft_types.Member(
                raft_types.ReplicaId(address),
                f"core-{address}",
                "zone-0",
                address,
            )
            for address in addresses
        )
        self.member = members[addresses.index(own)]
        self.membership = raft_types.Membership(members)
        self.state = types.SimpleNamespace(
            table=published_table.PublishedTable()
        )
        self.on_apply = None

    def is_connected(self, silence_ms: float) -> bool:
        """Return that the leader was heard of within `silence_ms`."""
        return True


class ReplicaUnderLoad:
    """One served fleet service and its tasks."""

    def __init__(self, own: str, addresses: list[str]) -> None:
        clock = clocks.SystemClock()
        self._own = own
        self.follower = Follower(own, addresses)
        self._channels = channels.ChannelPool()
        listing = listing_store.ListingStore(clock)
        listing.store_fetched(engines())
        self.service = fleet_service.FleetService(
            fleet_service.FleetDependencies(
                incarnation=f"boot-{own}",
                replica=self.follower,
                clock=clock,
                hub=fleet_hub.FleetHub(clock),
                origins=stream_origins.OriginHub(clock),
                listing=listing,
                read_table=configuration_document.read_table,
                stub_for=self._channels.stub_for,
            )
        )

    async def start(self) -> None:
        """Listen and start the tasks."""
        self._server = grpc.aio.server(options=rpc.SERVER_OPTIONS)
        self.service.add_to(self._server)
        self._server.add_insecure_port(self._own)
        await self._server.start()
        self._task = asyncio.create_task(self.service.run())

    async def close(self) -> None:
        """Stop serving at once."""
        self._task.cancel()
        await self.service.close()
        await self._server.stop(None)
        await self._channels.close()


async def _serve(own: str, addresses: list[str], seconds: float) -> None:
    replica = ReplicaUnderLoad(own, addresses)
    await replica.start()
    await asyncio.sleep(seconds)
    await replica.close()


def run_profiled(
    work: collections.abc.Coroutine[None, None, Result], profile: str
) -> Result:
    """Run `work`; write its costs by cause and function to a named file."""
    if not profile:
        return asyncio.run(work)
    profiler = cProfile.Profile()
    result = profiler.runcall(asyncio.run, work)
    text = io.StringIO()
    stats = pstats.Stats(profiler, stream=text)
    costs: collections.Counter[str] = collections.Counter()
    for function, (_, _, own_s, _, _) in stats.stats.items():
        costs[_cause(function[0], function[2])] += own_s
    for cause, own_s in costs.most_common():
        print(f"{cause}: {own_s:.2f} s", file=text)
    stats.sort_stats("tottime").print_stats(45)
    pathlib.Path(profile).write_text(text.getvalue(), encoding="utf-8")
    return result


def _cause(path: str, function: str) -> str:
    """Return what the processor time of a function is spent on."""
    if "poll" in function:
        return "waiting"
    # The compiled code of gRPC counts to the function that awaits it.
    if "/grpc/" in path or function in _AWAITS_GRPC or "Context" in function:
        return "calls and streams of gRPC"
    if "msgpack" in function:
        return "encoding"
    if "/asyncio/" in path or path.endswith("selectors.py"):
        return "event loop and timers"
    if "/collections/" in path or any(name in path for name in _SUMS):
        return "sums"
    return "all else"


def main(own: str, addresses: str, seconds: str, profile: str = "") -> None:
    """Serve one replica for some seconds."""
    logs.configure("error")
    run_profiled(_serve(own, addresses.split(","), float(seconds)), profile)


if __name__ == "__main__":
    main(*sys.argv[1:])
