"""A crowd of callers sends its heads a byte at a time and never ends them; ordinary callers must still be served."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-3"))
from harness import (BROKEN, KEPT, CannotRun, Loop, Replica, Router, Store, ask, configuration, main, message,  # noqa: E402
                     request_bytes, route)

CROWD = 1100
# The crowd never comes back: whatever the router closes stays closed.
ORDINARY_FROM_S, ORDINARY_TO_S = 12.0, 52.0
ORDINARY_PER_S = 2
HEADER_TIMEOUT_MS = 3000


async def serve(replica, head, body, writer):
    replica.record(f"{replica.name} ran {head.get('X-Attempt-Id')}")
    writer.write(message(200, replica.signature(head), b"served"))


async def slow_caller(port, number, until, state):
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: slow-{number}\r\nX-Long: ".encode())
        state["open"] += 1
    except OSError:
        state["refused"] += 1
        return
    try:
        while time.monotonic() < until and not writer.transport.is_closing():
            await asyncio.sleep(2)
            writer.write(b"a")
            await writer.drain()
    except (OSError, ConnectionError):
        pass
    state["open"] -= 1
    writer.close()


async def play(router, record, trouble):
    start = time.monotonic()
    state = {"open": 0, "refused": 0}
    crowd = []
    if trouble:
        record(f"{CROWD} callers connect and send heads a byte every 2 s, without an end")
        for number in range(CROWD):
            crowd.append(asyncio.ensure_future(slow_caller(router.front, number, start + ORDINARY_TO_S + 4, state)))
            if number % 50 == 49:
                await asyncio.sleep(0.05)
    served = sent = 0
    while time.monotonic() - start < ORDINARY_TO_S:
        elapsed = time.monotonic() - start
        if elapsed >= ORDINARY_FROM_S:
            sent += 1
            answer = await ask(router.front, request_bytes("GET", "/read/1", f"ordinary-{sent}"), 4.0)
            served += answer.status == 200 and answer.body == b"served"
            record(f"ordinary-{sent}: {answer.status or answer.error}; slow connections open {state['open']}; "
                   f"ready {await asyncio.to_thread(router.is_ready)}")
        await asyncio.sleep(1 / ORDINARY_PER_S)
    for each in crowd:
        each.cancel()
    record(f"served {served} of {sent} ordinary requests, sent {ORDINARY_FROM_S} s to {ORDINARY_TO_S} s after the crowd, "
           f"with header_timeout_ms {HEADER_TIMEOUT_MS}")
    return BROKEN if served * 2 < sent else KEPT


def case(record, trouble, directory, started):
    loop = Loop()
    store = Store(loop, record)
    store.put("op/config", configuration([route("r-read", "/read/", "idempotent", "desk")], services=("desk",)))
    Replica(loop, store, record, "i-1", "desk", serve, slots=6).start()
    router = Router("front-lj-a-1", store, record, directory)
    started.append(router)
    router.start()
    first = loop.run(ask(router.front, request_bytes("GET", "/read/1", "first")))
    if first.status != 200:
        raise CannotRun(f"the first request got {first.status or first.error}")
    result = loop.run(play(router, record, trouble), 100)
    record(f"peak memory of the router {router.memory_kb()} KB of {router.memory_mb} MB")
    return result


if __name__ == "__main__":
    main(case, FOLDER)
