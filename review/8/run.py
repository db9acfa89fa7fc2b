"""Sound requests with many short header fields, one at a time: is each one that a replica runs answered?"""

import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import standins2 as bench  # noqa: E402

MEMORY_MB = 110  # steinpleie-ruter
FIRST, LAST, ROUNDS = 890, 960, 3  # header fields "a: b" beside those of each request; the head stays under 6 KB of 16 KB
ALLOWED = 3  # LOST: "more than three times"


def booking(request, fields):
    return bench.head("POST", "/book/1", request, fields="Content-Length: 2\r\n" + "a: b\r\n" * fields) + b"{}"


def send(connection, message):
    """Returns the status of the answer, 0 if the connection ends without one."""
    connection.sendall(message)
    buffer = bytearray()
    try:
        head = bench.read_head(connection, buffer)
        if head is None or bench.read_body(connection, buffer, head[1]) is None:
            return 0
    except ConnectionError:
        return 0
    return int(head[0].split()[1])


def case(record, scratch, routers):
    store = bench.Store()
    store.put("op/config", bench.configuration(1, [bench.route("/book/", "non_idempotent", attempts=1)]))
    replicas = [bench.Replica(store, record, "i-app-%d" % number, "app", work_s=0.06) for number in range(3)]
    router = bench.Router(store, record, "front-1", scratch, MEMORY_MB)
    routers.append(router)
    router.start()
    router.await_ready()
    time.sleep(1)
    unanswered = refused = 0
    for fields in (list(range(FIRST, LAST)) if bench.TROUBLE else [0] * (LAST - FIRST)) * ROUNDS:
        name = "%d-%d" % (fields, time.monotonic_ns())
        message = booking("long-" + name, fields)
        with socket.create_connection((bench.HOST, router.front), timeout=4) as connection:
            first = send(connection, booking("plain-" + name, 0))
            status = send(connection, message)
        time.sleep(0.05)
        runs = sum(replica.run_count("long-" + name) for replica in replicas)
        record.line("%d fields, head of %d bytes, on a kept connection (first answer %d): %s, ran %d times" % (
            fields, len(message) - 2, first, status or "closed without an answer", runs))
        if first != 200:
            raise bench.CannotRun("the first request of a connection is not served")
        unanswered += 1 if status == 0 and runs > 0 else 0
        refused += 1 if 400 <= status < 500 else 0
    record.line("run by a replica and never answered: %d (allowed: %d); refused with a 4xx: %d"
                % (unanswered, ALLOWED, refused))
    return unanswered <= ALLOWED


if __name__ == "__main__":
    bench.main(FOLDER, case)
