from dogwoodhook.state.model import Target
from dogwoodhook.transport.target_pools import TargetPools

KEPT = Target("t1", "kigali-1", "127.0.0.1", 20001)
GONE = Target("t2", "kigali-1", "127.0.0.1", 20002)


def hold(pools, target):
    return pools.session(target, may_reuse=True, max_connections=3)


async def test_the_pool_of_a_target_that_is_gone_is_closed():
    pools = TargetPools()
    async with hold(pools, KEPT) as kept, hold(pools, GONE) as gone:
        pass
    await pools.retain([KEPT])
    assert gone.closed
    assert not kept.closed
    await pools.close()


async def test_an_attempt_in_flight_keeps_its_pool_until_its_end():
    pools = TargetPools()
    async with hold(pools, GONE) as gone:
        await pools.retain([])
        assert not gone.closed
    assert gone.closed
    await pools.close()
