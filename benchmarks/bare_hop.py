"""The least that an aiohttp proxy does: the baseline for the daemon's own work."""

import asyncio
import sys

import aiohttp
import uvloop
from aiohttp import web


async def serve(port: int, target: str) -> None:
    """Pass every request on to one target until the process is ended."""
    async with aiohttp.ClientSession(auto_decompress=False) as session:

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            async with session.request(
                request.method,
                target + request.path_qs,
                headers=request.headers,
                data=await request.read() or None,
            ) as source:
                answer = web.StreamResponse(
                    status=source.status, headers=source.headers
                )
                await answer.prepare(request)
                async for chunk in source.content.iter_any():
                    await answer.write(chunk)
                return answer

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        await asyncio.Event().wait()


if __name__ == "__main__":
    run = uvloop.run if sys.argv[3] == "uvloop" else asyncio.run
    run(serve(int(sys.argv[1]), sys.argv[2]))
