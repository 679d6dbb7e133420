"""The store turns one gateway away for some seconds; a configuration follows its return."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from standins import *  # noqa: E402,F403

STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
LONGEST_AWAY_S = 9.0
SERVICES = ["old-svc", "new-svc"]


def routes(service):
    return [("calls", "/calls/", "idempotent", service, 5000, 300, {})]


def case(folder, trouble):
    tenants = [("tenant-a", ["key-stays"]), ("tenant-b", ["key-goes"])]
    store = Store()
    store.put("op/config", config(3, routes("old-svc"), SERVICES, tenants))
    servers = [
        Server(store, "%s-%d" % (service, n), service, zone)
        for service in SERVICES
        for n, zone in enumerate(["a", "b", "c"])
    ]
    access = [StoreAccess(store) for _ in range(3)]
    gateways = [
        Gateway(folder, "gw-%s" % zone, zone, access[n].port)
        for n, zone in enumerate(["a", "b", "c"])
    ]
    if not wait_ready(gateways):
        raise CannotRun("gateways are not ready")
    time.sleep(4)
    target, path = gateways[0], access[0]

    away_at = now()
    last_read = threading.Event()
    if trouble:
        # 503 to every call, but no response to a read of the configuration: it is
        # the last call before the store serves this gateway again.
        def turned_away(method, call):
            if "kv-range?prefix=op/" in call:
                last_read.set()
                return "silent"
            return "busy"

        path.turn_away(turned_away)
        note("the store turns %s away" % target.name)
        last_read.wait(LONGEST_AWAY_S - 0.2)
        time.sleep(0.05)
        path.mode = "serve"
    else:
        time.sleep(7)
    back_at = now()
    note("the store serves %s again, after %.2f s" % (target.name, back_at - away_at))
    time.sleep(0.4)
    store.put("op/config", config(5, routes("new-svc"), SERVICES, [tenants[0]]))
    acked_at = now()
    note("configuration 5 acknowledged: /calls/ goes to new-svc, key-goes is gone")

    answers = []

    def send(n, key):
        id = "%016x" % (0xA0000000 + n)
        sent_at = now()
        headers = {
            "X-Skylarkhook-Request-Id": id,
            "X-Skylarkhook-Deadline-Ms": "1500",
            "Authorization": "Token " + key,
        }
        try:
            status, _, body = call(target.callers, "GET", "/calls/x", headers, timeout=3)
        except OSError as error:
            status, body = 0, str(error).encode()
        answers.append((sent_at, id, key, status, body))
        note("sent=%.3f id=%s key=%s status=%s body=%s" % (sent_at, id, key, status, body[:80]))

    threads = []
    n = 0
    while now() < acked_at + 7:
        for key in ["key-stays", "key-goes"]:
            n += 1
            threads.append(threading.Thread(target=send, args=(n, key)))
            threads[-1].start()
        time.sleep(0.05)
    for thread in threads:
        thread.join()

    ran = {}
    for server in servers:
        for _, id, _ in server.runs:
            ran.setdefault(id, []).append(server.service)
    judged_from = max(back_at + STABLE_WINDOW_S, acked_at + CONFIG_APPLY_S)
    violations = []
    for sent_at, id, key, status, _ in sorted(answers):
        if sent_at <= judged_from:
            continue
        after = "sent %.2f s after the acknowledgement, %.2f s after the store's return" % (
            sent_at - acked_at,
            sent_at - back_at,
        )
        if "old-svc" in ran.get(id, []):
            violations.append("request %s (%s) run by old-svc, %s" % (id, key, after))
        elif key == "key-goes" and id in ran:
            violations.append("request %s with the dropped key run, %s" % (id, after))
    served = [a for a in answers if a[0] > judged_from and a[2] == "key-stays" and a[3] == 200]
    print("%d requests judged and served" % len(served))
    if not served:
        raise CannotRun("no request was served")
    return violations


main(case)
