"""Entries of another writer among those of the targets."""

import json

import pytest

from tests.exchanges import until

HUGE = int("9" * 400)
NESTED = json.loads("[" * 900 + "]" * 900)
SENT = 12

ODD_ENTRIES = {
    "slots of 400 digits": {"slots": HUGE},
    "slots of 17 digits": {"slots": 10**17},
    "no slots": {"slots": 0},
    "born of 400 digits": {"born": HUGE},
    "sequence of 400 digits": {"sequence": HUGE},
    "nested sequence": {"sequence": NESTED},
    "nested field of no meaning": {"more": NESTED},
    "endless warm-up": {"warmupLeft": "1e999s"},
    "warm-up that is no number": {"warmupLeft": "nans"},
    "warm-up of years": {"warmupLeft": "99999999999s"},
    "port 0": {"address": "127.0.0.1:0"},
    "port 70000": {"address": "127.0.0.1:70000"},
    "port of 400 digits": {"address": f"127.0.0.1:{HUGE}"},
    "port in other digits": {"address": "127.0.0.1:\u0661\u0662\u0663\u0664"},
    "host with a lone surrogate": {"address": "a\ud800b:9"},
    "host of 50,000 letters": {"address": "a" * 50_000 + ":9"},
    "host with a label of 64 letters": {"address": "a" * 64 + ".example:9"},
    "host with a space": {"address": "127.0.0.1 x:9"},
    "host with a path": {"address": "127.0.0.1/x:9"},
    "host with a user": {"address": "a@127.0.0.1:9"},
    "empty host": {"address": ":9"},
    "data centre of 60,000 letters": {"zone": "z" * 60_000},
    "data centre with a lone surrogate": {"zone": "\ud800"},
    "service with a lone surrogate": {"backend": "\ud800"},
}


@pytest.mark.parametrize("odd", ODD_ENTRIES)
async def test_an_odd_entry_fails_the_requests_of_its_service(platform, odd):
    await platform.configure()
    target = await platform.start_target("t1")
    await platform.start_gateway("vm-1")
    entry = target.entry(**ODD_ENTRIES[odd])
    await platform.store.put("servers", "odd", entry)
    await platform.start_gateway("vm-2")
    late = await platform.start_target("t2")
    for gateway in platform.gateways:
        await until(lambda gateway=gateway: gateway.knows_target(late.name))
        replies = [
            await platform.send(path, gateway=gateway)
            for path in ["/read/a", "/post/a"] * SENT
        ]
        assert [reply.status for reply in replies] == [200] * 2 * SENT
