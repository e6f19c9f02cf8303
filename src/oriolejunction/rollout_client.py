"""Client of the control replicas' rollouts, for the command line."""

import math
import re

import grpc

from oriolejunction import errors
from oriolejunction import ids
from oriolejunction.peers import channels
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import rpc
from oriolejunction import rollout_errors
from oriolejunction import rollout_messages as rm

# A replica answers within 2 s, also while it finds no leader.
TIMEOUT_S = 4.0
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s|m|h)?")
_MS_BY_UNIT = {"ms": 1.0, "s": 1e3, "m": 6e4, "h": 3.6e6, None: 1e3}


def parse_duration_ms(text: str) -> float:
    """Return a time such as 500ms, 12s or 2m in ms.

    Raise `Failure` with `MalformedRequest` if it is none.
    """
    found = _DURATION.fullmatch(text.strip())
    duration_ms = float(found[1]) * _MS_BY_UNIT[found[2]] if found else 0.0
    if duration_ms <= 0.0 or not math.isfinite(duration_ms):
        raise errors.Failure(
            errors.MalformedRequest(f"{text!r} is no time such as 12s")
        )
    return duration_ms


async def begin(
    addresses: list[str], service: str, target: str, duration_ms: float
) -> int:
    """Order a rollout and return its number; raise `Failure` if refused."""
    request = rm.BeginRequest(
        ids.ServiceName(service), ids.SoftwareVersion(target), duration_ms
    )
    reply = await _call_any(
        addresses,
        fleet_methods.ROLLOUT_BEGIN,
        request,
        lambda reply: reply.is_final,
    )
    return rollout_errors.number_of(reply, request)


async def read(addresses: list[str], service: str) -> rm.RolloutStatus:
    """Return the newest rollout; raise `Failure` if there is none."""
    request = rm.ReadRequest(ids.ServiceName(service))
    reply = await _call_any(
        addresses,
        fleet_methods.ROLLOUT_READ,
        request,
        lambda reply: reply.confirmed,
    )
    return rollout_errors.status_of(reply, request)


async def _call_any(addresses: list[str], method: rpc.Method, request, is_ok):
    """Return the first reply that is confirmed; requests are idempotent."""
    pool = channels.ChannelPool()
    failed = []
    try:
        for address in addresses:
            call = pool.stub_for(address, method)
            try:
                reply = await call(request, timeout=TIMEOUT_S)
            except grpc.aio.AioRpcError as error:
                failed.append(f"{address}: {error.code().name}")
                continue
            if is_ok(reply):
                return reply
            failed.append(f"{address}: no majority")
    finally:
        await pool.close()
    raise errors.Failure(
        errors.ChangeUnconfirmed(
            f"not confirmed, send it again ({', '.join(failed)})"
        )
    )


def status_text(status: rm.RolloutStatus) -> str:
    """Return lines about a rollout, with progress while it runs."""
    lines = [
        f"rollout {status.number} of {status.service} to {status.target}:"
        f" {status.state.value} ({status.phase.value})"
    ]
    if status.reason:
        lines.append(f"  reason: {status.reason}")
        lines.append(f"  counts: {status.evidence}")
    progress = status.progress
    if progress is None:
        return "\n".join(lines)
    lines += [
        f"  {status.elapsed_ms / 1e3:.1f} s of"
        f" {status.duration_ms / 1e3:g} s, verdict {progress.verdict},"
        f" waits for: {progress.reason or 'nothing'}",
        f"  {progress.target_sent} of {progress.requests} requests went to"
        f" the target; allowed {progress.granted}, at most {progress.limit}"
        f" now; {progress.old_running} run on old servers,"
        f" {progress.instances} instances",
        f"  {'route':<24} {'old ended':>10} {'failed':>7}"
        f" {'new ended':>10} {'failed':>7}",
    ]
    lines += [
        f"  {each.route:<24} {each.old_ended:>10} {each.old_failed:>7}"
        f" {each.target_ended:>10} {each.target_failed:>7}"
        for each in progress.routes
    ]
    return "\n".join(lines)
