import asyncio

import pytest

from dogwoodhook.clock import ManualClock
from dogwoodhook.coordination.claims import (
    MAX_STORED_BODY_BYTES,
    AlreadySettled,
    Claimed,
    ClaimManager,
    FingerprintMismatch,
    InProgress,
    KeyedRequest,
    SettledUnknown,
    TableUnreachable,
)
from dogwoodhook.coordination.rows import StoredAnswer
from dogwoodhook.state.model import KeyedRequestPolicy
from dogwoodhook.testing.memory_platform import MemoryPlatform

REQUEST = KeyedRequest("payouts", "oulu", "key-1", "digest-1")
ANSWER = StoredAnswer(201, (("Content-Type", "text/plain"),), b"done")


def make_request(key, **changes):
    values = {"service": "payouts", "workspace": "oulu", "fingerprint": "digest-1"}
    return KeyedRequest(key=key, **(values | changes))


@pytest.fixture
def platform():
    return MemoryPlatform()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def managers(platform, clock):
    return [ClaimManager(platform, clock, daemon=f"vm-{i}") for i in range(3)]


async def test_a_retry_gets_the_stored_answer(managers):
    claim = await managers[0].claim(REQUEST)
    assert isinstance(claim, Claimed)
    assert await managers[1].claim(REQUEST) == InProgress()
    assert (await managers[0].settle(claim, ANSWER)).is_ok()
    assert await managers[1].claim(REQUEST) == AlreadySettled(ANSWER, 201)


async def test_only_the_status_of_a_large_answer_is_stored(managers):
    large = StoredAnswer(200, (), b"x" * (MAX_STORED_BODY_BYTES + 1))
    await managers[0].settle(await managers[0].claim(REQUEST), large)
    assert await managers[1].claim(REQUEST) == AlreadySettled(None, 200)


async def test_a_key_of_another_request_is_refused(managers):
    await managers[0].claim(REQUEST)
    other = make_request("key-1", fingerprint="digest-2")
    assert await managers[1].claim(other) == FingerprintMismatch()


async def test_a_withdrawn_key_may_be_claimed_again(managers):
    await managers[0].withdraw(await managers[0].claim(REQUEST))
    assert isinstance(await managers[1].claim(REQUEST), Claimed)


async def test_a_watched_claim_becomes_unknown_and_may_still_settle(managers, clock):
    claim = await managers[0].claim(REQUEST)
    await managers[1].claim(REQUEST)
    clock.advance(61)
    assert not claim.may_send(clock.now_s())
    assert await managers[1].claim(REQUEST) == SettledUnknown()
    await managers[0].settle(claim, ANSWER)
    assert await managers[2].claim(REQUEST) == AlreadySettled(ANSWER, 201)


async def test_a_watched_claim_becomes_unknown_without_a_retry(managers, clock):
    await managers[0].claim(REQUEST)
    await managers[1].claim(REQUEST)
    clock.advance(61)
    await managers[1].maintain()
    assert await managers[2].claim(REQUEST) == SettledUnknown()


async def test_a_claim_given_up_is_freed_once_the_table_answers(managers, platform):
    platform.lost_answers = 3
    assert await managers[0].claim(REQUEST) == TableUnreachable()
    assert await managers[1].claim(REQUEST) == InProgress()
    await managers[0].maintain()
    assert isinstance(await managers[1].claim(REQUEST), Claimed)


async def test_the_same_daemon_reuses_the_claim_it_gave_up(managers, platform):
    platform.lost_answers = 3
    assert await managers[0].claim(REQUEST) == TableUnreachable()
    assert isinstance(await managers[0].claim(REQUEST), Claimed)


async def test_a_delayed_commit_does_not_bring_a_withdrawn_claim_back(
    managers, platform
):
    platform.delayed_commits = 1
    claim = await managers[0].claim(REQUEST)
    await managers[0].withdraw(claim)
    platform.apply_delayed()
    assert isinstance(await managers[1].claim(REQUEST), Claimed)


async def test_a_delayed_commit_of_a_claim_given_up_is_freed(managers, platform):
    platform.delayed_commits = 3
    assert await managers[0].claim(REQUEST) == TableUnreachable()
    await managers[0].maintain()
    platform.apply_delayed()
    assert isinstance(await managers[1].claim(REQUEST), Claimed)


async def test_the_lease_ends_before_an_observer_marks_the_claim_unknown(
    managers, clock
):
    claim = await managers[0].claim(REQUEST)
    await managers[1].claim(REQUEST)
    while claim.may_send(clock.now_s()):
        assert await managers[1].claim(REQUEST) == InProgress()
        clock.advance(1)


async def test_the_lease_starts_before_the_claim_is_sent(clock):
    class SlowPlatform(MemoryPlatform):
        async def commit(self, transaction):
            clock.advance(31)
            return await super().commit(transaction)

    claim = await ClaimManager(SlowPlatform(), clock, daemon="vm-0").claim(REQUEST)
    assert not claim.may_send(clock.now_s())


async def test_a_cancelled_claim_is_freed(managers):
    task = asyncio.create_task(managers[0].claim(REQUEST))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    await managers[0].maintain()
    assert isinstance(await managers[1].claim(REQUEST), Claimed)


async def test_the_keyed_request_policy_applies_while_the_table_is_down(
    managers, platform
):
    platform.is_down = True
    assert await managers[0].claim(REQUEST) == TableUnreachable()
    forwarded = make_request("key-2", policy=KeyedRequestPolicy.FORWARD)
    claim = await managers[0].claim(forwarded)
    assert isinstance(claim, Claimed)
    assert (await managers[0].settle(claim, ANSWER)).is_error()
    platform.is_down = False
    await managers[0].maintain()
    assert await managers[1].claim(forwarded) == AlreadySettled(ANSWER, 201)


async def test_expired_claims_are_deleted(managers, platform, clock):
    await managers[0].settle(await managers[0].claim(REQUEST), ANSWER)
    clock.advance(24 * 3600)
    await managers[1].expire()
    assert len(platform.table.rows) == 1
    clock.advance(3601)
    await managers[1].expire()
    assert not platform.table.rows


async def test_concurrent_claims_of_one_daemon_share_commits(managers, platform):
    requests = [make_request(f"key-{i}") for i in range(50)]
    await managers[1].claim(requests[7])
    before = platform.table.version
    outcomes = await asyncio.gather(*(managers[0].claim(each) for each in requests))
    assert outcomes[7] == InProgress()
    assert sum(isinstance(outcome, Claimed) for outcome in outcomes) == 49
    assert platform.table.version - before <= 2


async def test_only_one_of_several_concurrent_claims_of_a_key_is_granted(managers):
    outcomes = await asyncio.gather(*(managers[0].claim(REQUEST) for _ in range(5)))
    assert sum(isinstance(outcome, Claimed) for outcome in outcomes) == 1
