"""The answer to the registration of a router is lost, and another router is added later.

A replica that then names a request rate for all routers together must not get more than one and a half times that.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-3"))
from harness import (BROKEN, KEPT, CannotRun, Loop, Replica, Router, Store, ask, configuration, main, message,  # noqa: E402
                     request_bytes, route)

LIMIT_PER_S = 40
SPAN_S = 4.0
STABILITY_S = 3.0
LATE_S = 3.0
ADDED_AFTER_S = 22.0
LIMITED_FROM_S, LIMITED_FOR_S = 32.0, 16.0
REQUESTS_PER_S = 60  # at each router


class State:
    limited_since = None
    arrivals = []


async def serve(replica, head, body, writer):
    fields = replica.signature(head)
    if State.limited_since:
        State.arrivals.append((time.monotonic(), head.get("X-Sent-To")))
        fields.append(("Server-Limit", f"{LIMIT_PER_S}"))
    await asyncio.sleep(0.01)
    writer.write(message(200, fields, b"served"))


async def callers(router, until, statuses):
    number = 0
    pending = []

    async def one(name):
        answer = await ask(router.front, request_bytes("GET", "/read/1", name, fields=[
            ("X-Sent-To", router.name)], remaining_ms=4000), 4)
        key = answer.status or answer.error
        statuses[key] = statuses.get(key, 0) + 1

    while time.monotonic() < until:
        number += 1
        pending.append(asyncio.ensure_future(one(f"{router.name}-{number}")))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*pending)


def most_in_span(record):
    """Returns the most arrivals in a span, from STABILITY_S after the replica first named its limit."""
    times = [each for each, _ in State.arrivals if each >= State.limited_since + STABILITY_S]
    most = 0
    for index, begin in enumerate(times):
        most = max(most, sum(begin <= each < begin + SPAN_S for each in times[index:]))
    by_router = {}
    for each, router in State.arrivals:
        if each >= State.limited_since + STABILITY_S:
            by_router[router] = by_router.get(router, 0) + 1
    length = times[-1] - times[0] if times else 1
    record("requests a second by router: " + str({name: round(count / length, 1) for name, count in by_router.items()}))
    return most


async def play(routers, start, record):
    await asyncio.sleep(start + LIMITED_FROM_S - time.monotonic())
    State.limited_since = time.monotonic()
    record(f"the replica names Server-Limit: {LIMIT_PER_S} from now on")
    statuses = {}
    await asyncio.gather(*[callers(each, time.monotonic() + LIMITED_FOR_S, statuses) for each in routers])
    record(f"answers by status: {statuses}")
    most = most_in_span(record)
    allowed = 1.5 * LIMIT_PER_S * SPAN_S + 5
    record(f"the replica got {most} requests in some {SPAN_S} s; {allowed:.0f} are allowed")
    return BROKEN if most > allowed else KEPT


def case(record, trouble, directory, started):
    loop = Loop()
    store = Store(loop, record)
    store.put("op/config", configuration([route("r-read", "/read/", "idempotent", "desk")], services=("desk",)))
    Replica(loop, store, record, "i-1", "desk", serve, slots=48).start()
    names = ["front-trd-a-1", "front-trd-a-2"]
    routers = [Router(name, store, record, directory) for name in names]
    start = time.monotonic()
    if trouble:
        # platform_lost, late: one write, the registration, gets no response and is done LATE_S later.
        store.late = {"jasminewood/routers/" + names[0]: LATE_S}
    started.append(routers[0])
    routers[0].start()
    time.sleep(start + ADDED_AFTER_S - time.monotonic())
    record(f"registered routers: {sorted(key for key in store.items if key.startswith('jasminewood/routers/'))}")
    started.append(routers[1])
    routers[1].start()
    first = loop.run(ask(routers[1].front, request_bytes("GET", "/read/1", "first", fields=[("X-Sent-To", "first")])))
    if first.status != 200:
        raise CannotRun(f"the first request got {first.status or first.error}")
    return loop.run(play(routers, start, record), 100)


if __name__ == "__main__":
    main(case, FOLDER)
