"""Orders over HTTP to engines that check the fence and that don't."""

from aiohttp import web
import pytest

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction import configuration
from oriolejunction.controllers import order_executor
from oriolejunction import errors
from oriolejunction.http import order_client
from oriolejunction import ids
from oriolejunction import local_deployment
from oriolejunction.standin import engine_orders
from oriolejunction import states

TARGET = commands.OrderTarget(ids.ModelName("m"), ids.ModelVersion("2"))


@pytest.fixture(params=[True, False], ids=["checking", "not_checking"])
async def engine(request):
    """Serve the order protocol; yield the address and what was done."""
    done = engine_orders.EngineOrders(clocks.SystemClock(), request.param)
    app = web.Application()
    app.add_routes(done.routes())
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, local_deployment.HOST, 0).start()
    port = runner.addresses[0][1]
    yield _engine(f"http://{local_deployment.HOST}:{port}"), done
    await runner.cleanup()


@pytest.fixture
async def client():
    client = order_client.OrderClient()
    yield client
    await client.close()


def _engine(url):
    return configuration.Engine(
        ids.EngineId("e"), url, ids.ZoneId("a"), ids.ModelName("m")
    )


def _intent(fence, action=states.OrderAction.LOAD):
    return commands.OrderIntent(fence, ids.EngineId("e"), action, TARGET)


async def test_order_is_carried_out_and_observed(engine, client):
    address, _ = engine
    await client.send(address, _intent(1), lambda: True)
    held = await client.observe(address)
    assert held == order_executor.EngineHoldings((TARGET,))


async def test_order_does_not_leave_after_the_lease(engine, client):
    address, done = engine
    with pytest.raises(errors.Failure):
        await client.send(address, _intent(1), lambda: False)
    assert (done.applied, done.loaded) == (0, [])


async def test_old_fence_is_refused_where_it_is_checked(engine, client):
    address, done = engine
    await client.send(address, _intent(2), lambda: True)
    old = _intent(1, states.OrderAction.UNLOAD)
    if not done.checks_fencing:
        await client.send(address, old, lambda: True)
        assert done.stale_applied == 1
        return
    with pytest.raises(errors.Failure):
        await client.send(address, old, lambda: True)
    assert (done.stale_refused, done.loaded) == (1, [TARGET])


async def test_engine_without_orders_is_told_from_a_lost_one(client):
    (port,) = local_deployment.free_ports(1)
    nowhere = _engine(f"http://{local_deployment.HOST}:{port}")
    with pytest.raises(errors.Failure):
        await client.observe(nowhere)
