"""One part of a prompt crashes each replica that begins to write an answer on it, with its first event.

Once the part has crashed five replicas, hardly any request with it may reach a replica.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-3"))
from harness import (BROKEN, KEPT, CannotRun, Loop, Replica, Router, Store, ask, configuration, main,  # noqa: E402
                     message, request_bytes, route)

STABILITY_S = 3.0
CRASHES = 5
ALLOWED = 3
DOWN_S = 2.0
PLAY_S = 45
SOUND_PER_S, DEADLY_PER_S = 10, 1.5
DEADLY_PART = "dead0001"
SHARED_PART = "5c1e07a2"


class State:
    crashes = []
    deadly = []


def prompt(part, number):
    return [("X-Model", "m"), ("X-Token-Counts", "900,180"),
            ("X-Prompt-Prefix", f"{SHARED_PART}:200,{part}:100,{0xe4400000 + number:x}:600")]


async def stream(replica, head, body, writer):
    attempt, deadly = head.get("X-Attempt-Id"), DEADLY_PART in head.get("X-Prompt-Prefix")
    if deadly:
        State.deadly.append(time.monotonic())
        replica.record(f"{replica.name} gets {attempt}, which has the deadly part")
    await asyncio.sleep(0.1)
    fields = replica.signature(head) + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
    writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields) + "\r\n").encode())
    for number in range(1, 11):
        event = f"id: {number}\ndata: x\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        if deadly:
            # The process dies with its first event: what it has written is on its way.
            await asyncio.sleep(0.005)
            if replica.beating:
                State.crashes.append(time.monotonic())
                replica.record(f"{replica.name} crashes (crash {len(State.crashes)})")
                await replica._crash()
                asyncio.ensure_future(come_back(replica))
            return "close"
        await asyncio.sleep(0.1)
    writer.write(b"0\r\n\r\n")
    return None


async def come_back(replica):
    await asyncio.sleep(DOWN_S)
    await replica._start()
    replica.record(f"{replica.name} is back")


async def callers(router, name, per_s, until, part, answers):
    number, pending = 0, []

    async def one(data):
        answer = await ask(router.front, data, 6)
        key = (answer.status or answer.error, answer.complete)
        answers[key] = answers.get(key, 0) + 1

    while time.monotonic() < until:
        number += 1
        fields = prompt(part or f"ab{number % 8:06x}", number + (1 << 16 if part else 0))
        data = request_bytes("POST", "/draft/1", f"{name}-{number}", fields=fields, body=f"{name}-{number}".encode(),
                             remaining_ms=6000)
        pending.append(asyncio.ensure_future(one(data)))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*pending)


async def play(router, record, trouble):
    sound, deadly = {}, {}
    until = time.monotonic() + PLAY_S
    calls = [callers(router, "sound", SOUND_PER_S, until, None, sound)]
    if trouble:
        calls.append(callers(router, "deadly", DEADLY_PER_S, until, DEADLY_PART, deadly))
    await asyncio.gather(*calls)
    record(f"answers to sound requests: {sound}; to those with the deadly part: {deadly}")
    if len(State.crashes) < CRASHES:
        record(f"{len(State.crashes)} crashes")
        return KEPT
    late = [each for each in State.deadly if each > State.crashes[CRASHES - 1] + STABILITY_S]
    record(f"{len(State.crashes)} crashes; {len(late)} requests with the deadly part reached replicas later than "
           f"{STABILITY_S} s after the fifth one; {ALLOWED} are allowed")
    return BROKEN if len(late) > ALLOWED else KEPT


def case(record, trouble, directory, started):
    loop = Loop()
    store = Store(loop, record)
    draft = route("r-draft", "/draft/", "streaming", "pool", 6000, 1, 600, gap_target_ms=200, resume_streams=False)
    store.put("op/config", configuration([draft], services=("pool",)))
    for number in range(1, 7):
        Replica(loop, store, record, f"i-{number}", "pool", stream).start()
    router = Router("front-trd-a-1", store, record, directory)
    started.append(router)
    router.start()
    first = loop.run(ask(router.front, request_bytes("POST", "/draft/1", "first", fields=prompt("ab000000", 1), body=b"x")))
    if first.status != 200:
        raise CannotRun(f"the first request got {first.status or first.error}")
    return loop.run(play(router, record, trouble), 110)


if __name__ == "__main__":
    main(case, FOLDER)
