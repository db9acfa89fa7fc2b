"""Clients that each send the beginning of a request and then one byte every two seconds: PORT COUNT SECONDS.

A client whose connection is closed connects again within a second. Prints the number of open connections every second.
"""

import select
import socket
import sys
import time

import standins2 as bench

PAUSE_S = 2.0
RECONNECT_S = 1.0


def connect(port):
    try:
        client = socket.create_connection((bench.HOST, port), timeout=1)
        client.setblocking(False)
        client.send(b"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Filler: ")
        return client
    except OSError:
        return None


def is_closed(client):
    try:
        return client.recv(1024) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def main():
    port, count, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    bench.allow_descriptors(count + 100)
    clients = []
    closed = 0
    end = time.monotonic() + seconds
    next_byte = time.monotonic() + PAUSE_S
    connect_at = time.monotonic()
    while time.monotonic() < end:
        for _ in range(count - len(clients) if time.monotonic() >= connect_at else 0):
            connect_at = time.monotonic() + RECONNECT_S
            client = connect(port)
            if client is None:
                break
            clients.append(client)
        readable = select.poll()
        by_number = {client.fileno(): client for client in clients}
        for number in by_number:
            readable.register(number, select.POLLIN)
        for number, _ in readable.poll(200):
            if is_closed(by_number[number]):
                clients.remove(by_number[number])
                by_number[number].close()
                closed += 1
        if time.monotonic() >= next_byte:
            next_byte += PAUSE_S
            for client in clients:
                try:
                    client.send(b"x")
                except OSError:
                    pass
            print("%d open, %d were closed" % (len(clients), closed), flush=True)


main()
