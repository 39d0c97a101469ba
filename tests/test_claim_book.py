import asyncio

import pytest

from dogwoodhook.clock import ManualClock
from dogwoodhook.coordination.claims import (
    MAX_STORED_BODY_BYTES,
    AlreadySettled,
    ClaimBook,
    Claimed,
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


def request(key, **changes):
    values = {"service": "payouts", "workspace": "oulu", "fingerprint": "digest-1"}
    return KeyedRequest(key=key, **(values | changes))


@pytest.fixture
def platform():
    return MemoryPlatform()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def books(platform, clock):
    return [ClaimBook(platform, clock, daemon=f"vm-{i}") for i in range(3)]


async def test_a_second_sending_gets_the_stored_answer(books):
    claim = await books[0].claim(REQUEST)
    assert isinstance(claim, Claimed)
    assert await books[1].claim(REQUEST) == InProgress()
    assert (await books[0].settle(claim, ANSWER)).is_ok()
    assert await books[1].claim(REQUEST) == AlreadySettled(ANSWER, 201)


async def test_a_large_answer_is_kept_as_its_status(books):
    large = StoredAnswer(200, (), b"x" * (MAX_STORED_BODY_BYTES + 1))
    await books[0].settle(await books[0].claim(REQUEST), large)
    assert await books[1].claim(REQUEST) == AlreadySettled(None, 200)


async def test_a_key_of_another_request_is_refused(books):
    await books[0].claim(REQUEST)
    other = request("key-1", fingerprint="digest-2")
    assert await books[1].claim(other) == FingerprintMismatch()


async def test_a_withdrawn_key_may_be_claimed_again(books):
    await books[0].withdraw(await books[0].claim(REQUEST))
    assert isinstance(await books[1].claim(REQUEST), Claimed)


async def test_a_watched_claim_becomes_unknown_and_may_still_settle(books, clock):
    claim = await books[0].claim(REQUEST)
    await books[1].claim(REQUEST)
    clock.advance(61)
    assert not claim.may_send(clock.now_s())
    assert await books[1].claim(REQUEST) == SettledUnknown()
    await books[0].settle(claim, ANSWER)
    assert await books[2].claim(REQUEST) == AlreadySettled(ANSWER, 201)


async def test_watching_needs_no_further_sending(books, clock):
    await books[0].claim(REQUEST)
    await books[1].claim(REQUEST)
    clock.advance(61)
    await books[1].maintain()
    assert await books[2].claim(REQUEST) == SettledUnknown()


async def test_a_claim_given_up_is_freed_once_the_table_answers(books, platform):
    platform.lost_answers = 3
    assert await books[0].claim(REQUEST) == TableUnreachable()
    assert await books[1].claim(REQUEST) == InProgress()
    await books[0].maintain()
    assert isinstance(await books[1].claim(REQUEST), Claimed)


async def test_the_same_daemon_reuses_the_claim_it_gave_up(books, platform):
    platform.lost_answers = 3
    assert await books[0].claim(REQUEST) == TableUnreachable()
    assert isinstance(await books[0].claim(REQUEST), Claimed)


async def test_a_delayed_commit_does_not_bring_a_withdrawn_claim_back(books, platform):
    platform.delayed_commits = 1
    claim = await books[0].claim(REQUEST)
    await books[0].withdraw(claim)
    platform.apply_delayed()
    assert isinstance(await books[1].claim(REQUEST), Claimed)


async def test_a_delayed_commit_of_a_claim_given_up_is_freed(books, platform):
    platform.delayed_commits = 3
    assert await books[0].claim(REQUEST) == TableUnreachable()
    await books[0].maintain()
    platform.apply_delayed()
    assert isinstance(await books[1].claim(REQUEST), Claimed)


async def test_the_lease_is_over_before_any_observer_says_unknown(books, clock):
    claim = await books[0].claim(REQUEST)
    await books[1].claim(REQUEST)
    while claim.may_send(clock.now_s()):
        assert await books[1].claim(REQUEST) == InProgress()
        clock.advance(1)


async def test_the_lease_counts_from_before_the_claim_was_sent(clock):
    class SlowPlatform(MemoryPlatform):
        async def commit(self, transaction):
            clock.advance(31)
            return await super().commit(transaction)

    claim = await ClaimBook(SlowPlatform(), clock, daemon="vm-0").claim(REQUEST)
    assert not claim.may_send(clock.now_s())


async def test_a_cancelled_claim_is_freed(books):
    task = asyncio.create_task(books[0].claim(REQUEST))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    await books[0].maintain()
    assert isinstance(await books[1].claim(REQUEST), Claimed)


async def test_the_policy_decides_while_the_table_is_down(books, platform):
    platform.is_down = True
    assert await books[0].claim(REQUEST) == TableUnreachable()
    forwarded = request("key-2", policy=KeyedRequestPolicy.FORWARD)
    claim = await books[0].claim(forwarded)
    assert isinstance(claim, Claimed)
    assert (await books[0].settle(claim, ANSWER)).is_error()
    platform.is_down = False
    await books[0].maintain()
    assert await books[1].claim(forwarded) == AlreadySettled(ANSWER, 201)


async def test_expired_claims_are_deleted(books, platform, clock):
    await books[0].settle(await books[0].claim(REQUEST), ANSWER)
    clock.advance(24 * 3600)
    await books[1].expire()
    assert len(platform.table.rows) == 1
    clock.advance(3601)
    await books[1].expire()
    assert not platform.table.rows


async def test_claims_of_one_daemon_share_commits(books, platform):
    requests = [request(f"key-{i}") for i in range(50)]
    await books[1].claim(requests[7])
    before = platform.table.version
    outcomes = await asyncio.gather(*(books[0].claim(each) for each in requests))
    assert outcomes[7] == InProgress()
    assert sum(isinstance(outcome, Claimed) for outcome in outcomes) == 49
    assert platform.table.version - before <= 2


async def test_one_key_twice_in_one_group_runs_once(books):
    outcomes = await asyncio.gather(*(books[0].claim(REQUEST) for _ in range(5)))
    assert sum(isinstance(outcome, Claimed) for outcome in outcomes) == 1
