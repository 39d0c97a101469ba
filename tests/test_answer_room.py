"""Room for large answers, in simulated time."""

import asyncio

import pytest

from dogwoodhook.transport.answer_room import AnswerRoom
from tests import virtual_time

LIMIT = 10


def play(work):
    return virtual_time.run(lambda: work(AnswerRoom(limit_bytes=LIMIT)))


def test_answers_get_room_out_of_order():
    async def wait_in_order(room):
        granted = []

        async def take(size):
            assert await room.take(size, timeout_s=9.0)
            granted.append(size)

        assert room.try_take(LIMIT)
        tasks = [asyncio.create_task(take(size)) for size in (6, 3, 2)]
        await asyncio.sleep(1.0)
        assert not room.try_take(1), "another one waits"
        room.give_back(LIMIT)
        await asyncio.sleep(1.0)
        assert granted == [6, 3]
        room.give_back(6)
        await asyncio.gather(*tasks)
        return granted

    assert play(wait_in_order) == [6, 3, 2]


@pytest.mark.parametrize(("size", "timeout_s"), [(LIMIT + 1, 9.0), (1, 0.0), (1, 2.0)])
def test_an_answer_waits_for_ever(size, timeout_s):
    async def give_up(room):
        assert room.try_take(LIMIT)
        assert not await room.take(size, timeout_s=timeout_s)
        room.give_back(LIMIT)
        return room.try_take(LIMIT)

    assert play(give_up)


@pytest.mark.parametrize("is_granted", [True, False])
def test_room_is_lost_with_a_request_that_waits_for_it(is_granted):
    async def cancel(room):
        assert room.try_take(LIMIT)
        task = asyncio.create_task(room.take(4, timeout_s=9.0))
        await asyncio.sleep(1.0)
        if is_granted:
            room.give_back(LIMIT)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        if not is_granted:
            room.give_back(LIMIT)
        return room.try_take(LIMIT)

    assert play(cancel)


def test_an_answer_that_gives_up_keeps_others_waiting():
    async def wait_behind(room):
        assert room.try_take(LIMIT - 2)
        first = asyncio.create_task(room.take(5, timeout_s=1.0))
        second = asyncio.create_task(room.take(2, timeout_s=9.0))
        return await first, await second, asyncio.get_running_loop().time()

    assert play(wait_behind) == (False, True, 1.0)
