"""The last client account is removed from the configuration. Its key must stop working."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import (BOUNDS, HOST, Case, Client, Replica, Store, answer_plainly, attempt_id, configuration, route,
                      service)

KEY = "xd9dnn2ctnfzs989anu6"
NEVER_HELD = "aaaaaaaaaaaaaaaaaaaa"


def play(case):
    store = Store()
    routes = [route("r-book", "/pule252/", "non_idempotent", "app"), route("r-read", "/puxa403/", "idempotent", "app")]
    services = [service("app")]
    tenant = {"name": "huka270", "api_keys": [KEY], "priority": 1}
    store.put("op/config", configuration(7, routes, services, [tenant]))
    ran = {}

    def handler(replica, request, connection):
        ran[request.attempt] = request.field("X-Tenant")
        answer_plainly(replica, request, connection)

    for number in range(3):
        Replica(store, "app", f"i-{number}", case.record, slots=6, handler=handler)
    routers = [case.router(store, f"front-trd-{zone}-1", zone=f"trd-{zone}") for zone in "abc"]
    if not all(router.wait_until_ready() for router in routers):
        case.fail("a router did not become ready")
    time.sleep(2)

    def send(router, method, target, key):
        attempt = attempt_id()
        client = Client(router.front)
        answer = client.call(method, target, [
            ("Host", HOST), ("X-Attempt-Id", attempt), ("X-Time-Remaining-Ms", "4000"),
            ("Authorization", "Bearer " + key)])
        client.close()
        case.record(f"a client sends {attempt} {method} {target} with key {key} to {router.name}: {answer};"
                    f" ran: {attempt in ran}, X-Tenant: {ran.get(attempt)}")
        return attempt in ran

    def send_all(key):
        return [send(router, *call, key) for router in routers
                for call in (("GET", "/puxa403/2f"), ("POST", "/pule252/2f"))]

    case.record("version 7 holds one tenant with one key")
    if not all(send_all(KEY)):
        case.fail("requests with a valid key did not run")
    if any(send_all(NEVER_HELD)):
        case.fail("requests with an unknown key ran under version 7")
    tenants = [] if case.trouble else [{**tenant, "api_keys": []}]
    store.put("op/config", configuration(9, routes, services, tenants))
    case.record(f"the store acknowledges version 9, with \"tenants\": {tenants}")
    time.sleep(BOUNDS["revocation_ms"] / 1000 + 2)
    revoked = sum(send_all(KEY))
    unknown = sum(send_all(NEVER_HELD))
    case.finish(revoked + unknown > 0, f"{revoked} of 6 requests with the removed key and {unknown} of 6 with a key"
                f" that no configuration held ran later than {BOUNDS['revocation_ms']} ms after the acknowledgement")


case = Case(__file__)
case.run(play)
