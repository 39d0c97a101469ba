from dogwoodhook.state.model import Target
from dogwoodhook.transport.target_pools import TargetPools

KEPT = Target("t1", "kigali-1", "127.0.0.1", 20001)
REMOVED = Target("t2", "kigali-1", "127.0.0.1", 20002)


def use_session(pools, target):
    return pools.session(target, may_reuse=True, max_connections=3)


async def test_the_pool_of_a_removed_target_is_closed():
    pools = TargetPools()
    async with use_session(pools, KEPT) as kept, use_session(pools, REMOVED) as removed:
        pass
    await pools.retain([KEPT])
    assert removed.closed
    assert not kept.closed
    await pools.close()


async def test_an_attempt_in_flight_keeps_its_pool_open_until_it_ends():
    pools = TargetPools()
    async with use_session(pools, REMOVED) as removed:
        await pools.retain([])
        assert not removed.closed
    assert removed.closed
    await pools.close()
