"""The gateways that watch the store are killed together while a server leaves."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from standins import *  # noqa: E402,F403

DRAIN_S = 2.0
# Killed processes are started again after this time.
DARK_S = 2.0
# It serves for `drainMs` "and a little longer", and then exits.
EXIT_S = 2.3
KILLED = 3
GATEWAYS = 6


def case(folder, trouble):
    store = Store()
    routes = [("calls", "/calls/", "non_idempotent", "plain", 5000, 300, {})]
    store.put("op/config", config(3, routes, ["plain"], [("tenant-a", ["key-a"])]))
    servers = [Server(store, "plain-%d" % n, "plain", zone, work_s=0.2) for n, zone in enumerate("abc")]
    access = [StoreAccess(store) for _ in range(GATEWAYS)]
    gateways = [
        Gateway(folder, "gw-%d" % n, "abc"[n % 3], access[n].port) for n in range(GATEWAYS)
    ]
    if not wait_ready(gateways):
        raise CannotRun("gateways are not ready")
    time.sleep(5)

    # Those whose short watches of the servers' entries the store sees.
    def watches(path):
        recent = [t for at, _, t in list(path.calls) if at > now() - 1.5 and "prefix=servers/" in t]
        return any("kv-watch" in t and "waitMs=600" in t for t in recent)

    watchers = [n for n in range(GATEWAYS) if watches(access[n])]
    note("gateways that watch the servers' entries: %s" % watchers)
    if not 1 <= len(watchers) <= KILLED:
        raise CannotRun("%d gateways watch" % len(watchers))
    others = [n for n in range(GATEWAYS) if n not in watchers]
    victims = watchers + others[: KILLED - len(watchers)]
    kept = [n for n in range(GATEWAYS) if n not in victims]

    sent, answers = {}, {}

    def send(id, n):
        headers = {
            "X-Skylarkhook-Request-Id": id,
            "X-Skylarkhook-Deadline-Ms": "1500",
            "Authorization": "Token key-a",
        }
        at = now()
        sent[id] = (at, n)
        answers[id] = None
        try:
            status, _, _ = call(gateways[n].callers, "POST", "/calls/x", headers, b"{}", timeout=3)
        except OSError as error:
            status = error
        answers[id] = status
        note("sent=%.3f id=%s gateway=%d status=%s" % (at, id, n, status))

    stop = threading.Event()

    def traffic():
        count = 0
        while not stop.is_set():
            for n in kept:
                count += 1
                id = "%016x" % (0xB0000000 + count)
                threading.Thread(target=send, args=(id, n), daemon=True).start()
            time.sleep(0.04)

    threading.Thread(target=traffic, daemon=True).start()
    time.sleep(1.5)
    if trouble:
        for n in victims:
            gateways[n].kill_for(DARK_S)
        note("killed: gateways %s" % victims)
    killed_at = now()
    time.sleep(0.05)
    leaving = servers[0]
    leaving.listed = False
    store.remove("servers/" + leaving.id)
    acked_at = now()
    note("entry of %s removed; it serves on for some seconds" % leaving.id)
    time.sleep(max(0, killed_at + 0.5 - now()))
    # A watch that is waiting may be cut.
    for n in kept:
        access[n].cut_watches()
    note("waiting watches cut")
    time.sleep(max(0, acked_at + EXIT_S - now()))
    leaving.exit()
    note("%s exits" % leaving.id)
    time.sleep(3)
    stop.set()
    time.sleep(1)

    violations = []
    late = [(at, id) for at, id, _ in leaving.runs if at > acked_at + DRAIN_S]
    for at, id in late:
        violations.append(
            "request %s, sent to gateway %d, reached %s %.2f s after its entry was removed"
            % (id, sent[id][1], leaving.id, at - acked_at)
        )
    lost = [id for _, id in late if answers[id] != 200]
    print("%d late requests at it, %d of them not answered with 200" % (len(late), len(lost)))
    last = max((at for at, _, _ in leaving.runs), default=0) - acked_at
    print("last request at the server that left: %.2f s after the removal" % last)
    return violations


main(case)
