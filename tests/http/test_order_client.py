"""Orders to engines that do and that do not check the fencing token."""

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
    """Serve the order protocol; yield the engine and its order state."""
    orders = engine_orders.EngineOrders(clocks.SystemClock(), request.param)
    app = web.Application()
    app.add_routes(orders.routes())
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, local_deployment.HOST, 0).start()
    port = runner.addresses[0][1]
    yield _engine(f"http://{local_deployment.HOST}:{port}"), orders
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
    configured, _ = engine
    await client.send(configured, _intent(1), lambda: True)
    holdings = await client.observe(configured)
    assert holdings == order_executor.EngineHoldings((TARGET,))


async def test_order_is_not_sent_after_the_lease(engine, client):
    configured, orders = engine
    with pytest.raises(errors.Failure):
        await client.send(configured, _intent(1), lambda: False)
    assert (orders.applied, orders.loaded) == (0, [])


async def test_old_fence_is_refused_where_it_is_checked(engine, client):
    configured, orders = engine
    await client.send(configured, _intent(2), lambda: True)
    old = _intent(1, states.OrderAction.UNLOAD)
    if not orders.checks_fencing:
        await client.send(configured, old, lambda: True)
        assert orders.stale_applied == 1
        return
    with pytest.raises(errors.Failure):
        await client.send(configured, old, lambda: True)
    assert (orders.stale_refused, orders.loaded) == (1, [TARGET])


async def test_observing_an_unreachable_engine_fails(client):
    (port,) = local_deployment.free_ports(1)
    unreachable = _engine(f"http://{local_deployment.HOST}:{port}")
    with pytest.raises(errors.Failure):
        await client.observe(unreachable)
