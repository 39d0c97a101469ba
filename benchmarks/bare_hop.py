"""A minimal aiohttp proxy, the baseline for the daemon's own overhead.

Run it with ``python -m benchmarks.bare_hop PORT TARGET_URL uvloop|asyncio``.
"""

import asyncio
import sys

import aiohttp
import uvloop
from aiohttp import web


async def serve(port: int, target: str) -> None:
    """Forward every request to one target until the process is ended."""
    async with aiohttp.ClientSession(auto_decompress=False) as session:

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            async with session.request(
                request.method,
                target + request.path_qs,
                headers=request.headers,
                data=await request.read() or None,
            ) as target_answer:
                answer = web.StreamResponse(
                    status=target_answer.status, headers=target_answer.headers
                )
                await answer.prepare(request)
                async for chunk in target_answer.content.iter_any():
                    await answer.write(chunk)
                return answer

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        await asyncio.Event().wait()


if __name__ == "__main__":
    run = uvloop.run if sys.argv[3] == "uvloop" else asyncio.run
    run(serve(int(sys.argv[1]), sys.argv[2]))
