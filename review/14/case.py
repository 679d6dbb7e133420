"""A gateway that the store refused one call is the only one left when the others are killed."""

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
EXIT_S = 3.0
STABLE_WINDOW_S = 3.0
LONGEST_AWAY_S = 9.0
READS = "kv-range?prefix=servers/"


def case(folder, trouble):
    store = Store()
    routes = [("calls", "/calls/", "non_idempotent", "plain", 5000, 300, {})]
    store.put("op/config", config(3, routes, ["plain"], [("tenant-a", ["key-a"])]))
    servers = [Server(store, "plain-%d" % n, "plain", zone, work_s=0.2) for n, zone in enumerate("abc")]
    access = [StoreAccess(store) for _ in range(3)]
    gateways = [Gateway(folder, "gw-%s" % zone, zone, access[n].port) for n, zone in enumerate("abc")]
    if not wait_ready(gateways):
        raise CannotRun("gateways are not ready")
    time.sleep(5)

    # Two of three watch the servers' entries, as the store sees.
    def watches(path):
        recent = [t for at, _, t in list(path.calls) if at > now() - 1.5 and "prefix=servers/" in t]
        return any("kv-watch" in t and "waitMs=600" in t for t in recent)

    watchers = [n for n in range(3) if watches(access[n])]
    note("gateways that watch the servers' entries: %s" % watchers)
    if len(watchers) != 2:
        raise CannotRun("%d gateways watch" % len(watchers))
    kept = next(n for n in range(3) if n not in watchers)
    path = access[kept]

    # The third one reads them every 10 s. The store turns it away at such a read.
    last_read = max(at for at, _, t in list(path.calls) if READS in t)
    time.sleep(max(0, last_read + 9 - now()))
    refused = threading.Event()
    if trouble:
        away_at = now()

        def turned_away(method, target):
            if READS in target:
                refused.set()
            return "busy"

        path.mode = turned_away
        if not refused.wait(LONGEST_AWAY_S):
            raise CannotRun("no read came")
        time.sleep(0.01)
        path.mode = "serve"
        note("the store turned gateway %d away for %.2f s" % (kept, now() - away_at))
    else:
        time.sleep(2)
    back_at = now()

    sent, answers = {}, {}

    def send(id):
        headers = {
            "X-Skylarkhook-Request-Id": id,
            "X-Skylarkhook-Deadline-Ms": "1500",
            "Authorization": "Token key-a",
        }
        sent[id] = now()
        try:
            status, _, _ = call(gateways[kept].callers, "POST", "/calls/x", headers, b"{}", timeout=3)
        except OSError as error:
            status = error
        answers[id] = status
        note("sent=%.3f id=%s status=%s" % (sent[id], id, status))

    stop = threading.Event()

    def traffic():
        count = 0
        while not stop.is_set():
            count += 1
            id = "%016x" % (0xE0000000 + count)
            threading.Thread(target=send, args=(id,), daemon=True).start()
            time.sleep(0.03)

    time.sleep(STABLE_WINDOW_S)
    threading.Thread(target=traffic, daemon=True).start()
    time.sleep(1.5)
    if trouble:
        for n in watchers:
            gateways[n].kill_for(DARK_S)
        note("killed: gateways %s" % watchers)
    time.sleep(0.05)
    leaving = servers[0]
    leaving.listed = False
    store.remove("servers/" + leaving.id)
    acked_at = now()
    note("entry of %s removed, %.2f s after the store's return; it serves on for some seconds"
         % (leaving.id, acked_at - back_at))
    time.sleep(EXIT_S)
    leaving.exit()
    note("%s exits" % leaving.id)
    time.sleep(3)
    stop.set()
    time.sleep(1)

    late = [id for at, id, _ in leaving.runs if id in sent and at > acked_at + DRAIN_S]
    lost = [id for id in late if answers.get(id) != 200]
    print("%d late requests at it, %d of them not answered with 200" % (len(late), len(lost)))
    last = max((at for at, id, _ in leaving.runs if id in sent), default=0) - acked_at
    print("last request at the server that left: %.2f s after the removal" % last)
    return [
        "request %s, sent %.2f s after the removal, reached %s %.2f s after it"
        % (id, sent[id] - acked_at, leaving.id, at - acked_at)
        for at, id, _ in leaving.runs
        if id in sent and at > acked_at + DRAIN_S
    ]


main(case)
