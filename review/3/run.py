"""A release begins while one router is suspended; its clients take their streams up again at the other routers."""

import os
import re
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import HOST, Answer, Case, Client, Replica, Store, attempt_id, configuration, now, route, service

KEY = "xd9dnn2ctnfzs989anu6"
EVENTS = 73
EVENT_GAP_S = 0.06
STREAMS = 24
FREEZE_S = 4
# A client abandons a stream after such a gap: the longest of two seconds, four times the objective and eight times the
# pause.
ABANDON_S = 2
DEADLINE_S = 15


def play(case):
    store = Store()
    routes = [route("r-chat", "/pufi791/", "streaming", "pool", timeout_ms=15000, target_latency_ms=250, priority=0,
                    resume_streams=True, gap_target_ms=120, sticky_sessions=True)]
    store.put("op/config", configuration(7, routes, [service("pool", engine=True, connection_limit=360)], [
        {"name": "huka270", "api_keys": [KEY], "priority": 1}]))

    def handler(replica, request, connection):
        begun_after = int(request.field("Last-Event-Id") or 0)
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in replica.fields(request))
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection.sendall(head.encode())
        for number in range(begun_after + 1, EVENTS + 1):
            time.sleep(EVENT_GAP_S)
            event = f"id: {number}\ndata: {replica.version}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")

    for number in range(4):
        Replica(store, "pool", f"i-{number}", case.record, handler=handler, zone="trd-" + "abca"[number])
    routers = [case.router(store, f"front-trd-{zone}-1", zone=f"trd-{zone}") for zone in "abc"]
    if not all(router.wait_until_ready() for router in routers):
        case.fail("a router did not become ready")
    time.sleep(4)
    frozen, others = routers[0], routers[1:]
    first_gone, taken_up, new_begun = [], [], []

    def call(router, number, attempt, remaining_s, extra=()):
        """Sends a stream request; returns the answer and the ids of its whole events."""
        try:
            client = Client(router.front, timeout=ABANDON_S)
            answer = client.call("POST", "/pufi791/2f", [
                ("Host", HOST), ("X-Attempt-Id", attempt), ("X-Model", "m"), ("X-Token-Counts", "826,292"),
                ("X-Prompt-Prefix", f"{0x5c1e07a0 + number % 7:x}:198,{number:08x}:628"),
                ("X-Time-Remaining-Ms", str(int(remaining_s * 1000))), ("Authorization", "Bearer " + KEY), *extra])
            client.close()
        except OSError as error:
            answer = Answer(error=repr(error))
        return answer, [int(each) for each in re.findall(r"id: (\d+)\n", answer.body.decode())]

    def stream(number):
        begun_at, first = now(), attempt_id()
        answer, ids = call(frozen, number, first, DEADLINE_S)
        case.record(f"the client of {first} got {answer} from {frozen.name}: {len(ids)} events")
        if answer.complete or not ids:
            return
        first_gone.append(first)
        # The sheet gives these clients one retry.
        attempt, router = attempt_id(), others[number % 2]
        answer, more = call(router, number, attempt, begun_at + DEADLINE_S - now(),
                            (("Last-Event-Id", str(ids[-1])), ("Resumes", first)))
        case.record(f"the client of {first} takes it up after event {ids[-1]} with {attempt} at {router.name}:"
                    f" {answer}: {len(more)} events")
        taken_up.append(bool(more))

    def new_stream(number):
        attempt = attempt_id()
        answer, ids = call(others[number % 2], number, attempt, DEADLINE_S)
        new_begun.append(bool(ids))
        if not ids:
            case.record(f"a new stream {attempt} did not begin: {answer}")

    threads = [threading.Thread(target=stream, args=(number,)) for number in range(STREAMS)]
    for thread in threads:
        thread.start()
        time.sleep(0.05)
    time.sleep(1)
    if case.trouble:
        frozen.kill(signal.SIGSTOP)
    frozen_at = now()
    time.sleep(0.3)
    Replica(store, "pool", "i-9", case.record, version="v2", handler=handler, zone="trd-b")
    case.record("a release begins: replica i-9 of version v2 registers")
    number = STREAMS
    while now() < frozen_at + FREEZE_S:
        threads.append(threading.Thread(target=new_stream, args=(number,)))
        threads[-1].start()
        number += 1
        time.sleep(0.2)
    if case.trouble:
        frozen.kill(signal.SIGCONT)
    for thread in threads:
        thread.join()
    share = sum(taken_up) / len(taken_up) if taken_up else 1
    new_share = sum(new_begun) / len(new_begun)
    case.finish(len(taken_up) >= 12 and share < new_share / 2,
                f"{sum(taken_up)} of {len(taken_up)} requests that take up a stream went on,"
                f" of {len(first_gone)} streams;"
                f" {sum(new_begun)} of {len(new_begun)} new streams began; four replicas of version v1 served")


case = Case(__file__)
case.run(play)
