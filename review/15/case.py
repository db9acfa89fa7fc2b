"""A write of a replica that got no response is executed seconds later, after the replica has said that it leaves.

No request may reach the replica later than drain_ms after the store has accepted that it is draining.
"""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-3"))
from harness import (BROKEN, KEPT, CannotRun, Loop, Replica, Router, Store, ask, configuration, main, message,  # noqa: E402
                     request_bytes, route)

DRAIN_MS = 2000
LATE_S = 5.1
DRAINING_AFTER_S = 3.05
# As booking-commit and its lookup on the sheet: 21.6 a second, over four routers.
REQUESTS_PER_S = 21.6
ROUTERS = 4


class State:
    draining_at = None  # when the store had accepted that the replica is draining
    late = []


async def serve(replica, head, body, writer):
    sent_at = float(head.get("X-Sent-At"))
    if replica.state == "draining" and State.draining_at:
        after = time.monotonic() - State.draining_at
        record_late = after > DRAIN_MS / 1000
        replica.record(f"{replica.name} (draining) runs {head.get('X-Attempt-Id')} {after:.3f} s after the store had "
                       f"accepted that it is draining; the client sent it {sent_at - State.draining_at:+.3f} s after that")
        if record_late:
            State.late.append(head.get("X-Attempt-Id"))
    await asyncio.sleep(0.06)
    writer.write(message(200, replica.signature(head), b"served"))


async def callers(routers, until, statuses):
    number = 0
    pending = []

    async def one(name):
        answer = await ask(random.choice(routers).front, request_bytes("GET", "/read/1", name, fields=[
            ("X-Sent-At", f"{time.monotonic():.3f}")], remaining_ms=4000), 4)
        key = answer.status or answer.error
        statuses[key] = statuses.get(key, 0) + 1

    while time.monotonic() < until:
        number += 1
        pending.append(asyncio.ensure_future(one(f"read-{number}")))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*pending)


async def play(routers, store, replica, record, trouble):
    statuses = {}
    calls = asyncio.ensure_future(callers(routers, time.monotonic() + 14, statuses))
    await asyncio.sleep(2)
    # platform_lost, late: one of the replica's regular writes gets no response, and is executed LATE_S later.
    replica.loses_next = trouble
    while trouble and not replica.lost:
        await asyncio.sleep(0.005)
    lost_at, lost = replica.lost or (time.monotonic(), None)
    if lost:
        record(f"the write of {replica.name}, state {lost['state']}, sequence {lost['sequence']}, gets no response")
    await asyncio.sleep(lost_at + DRAINING_AFTER_S - time.monotonic())
    replica.state = "draining"
    await replica.register()
    State.draining_at = time.monotonic()
    record(f"the store accepts that {replica.name} is draining, sequence {replica.sequence}")
    await asyncio.sleep(lost_at + LATE_S - time.monotonic())
    if lost:
        await store.put_async("servers/" + replica.name, lost)
        record(f"the store executes the late write: state {lost['state']}, sequence {lost['sequence']}")
    await calls
    record(f"answers by status: {statuses}")
    record(f"{len(State.late)} requests reached {replica.name} later than {DRAIN_MS} ms after the store had accepted that "
           f"it is draining: {State.late}")
    return BROKEN if State.late else KEPT


def case(record, trouble, directory, started):
    loop = Loop()
    store = Store(loop, record)
    store.put("op/config", configuration([route("r-read", "/read/", "idempotent", "desk")], services=("desk",)))
    replicas = [Replica(loop, store, record, f"i-{number}", "desk", serve, slots=6).start() for number in (1, 2, 3)]
    routers = [Router(f"front-trd-a-{number}", store, record, directory) for number in range(1, ROUTERS + 1)]
    for router in routers:
        started.append(router)
        router.start(wait=False)
    for router in routers:
        router.await_ready()
    first = loop.run(ask(routers[0].front, request_bytes("GET", "/read/1", "first", fields=[
        ("X-Sent-At", f"{time.monotonic():.3f}")])))
    if first.status != 200:
        raise CannotRun(f"the first request got {first.status or first.error}")
    return loop.run(play(routers, store, replicas[0], record, trouble), 100)


if __name__ == "__main__":
    main(case, FOLDER)
