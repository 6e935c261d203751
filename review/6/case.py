"""Bad clients that send writes with full bodies at once drive the front over its memory, and the platform kills it."""
import os
import random
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig-2"))
from rig import *  # noqa: E402,F403

MEMORY_MB, SOCKETS = 32, 1024
BAD_CLIENTS = 60        # "by the hundred"; all clients hold less than a third of the descriptors
AT_ONCE = 32            # "up to 32 requests may be open on one connection"
BODY = b"b" * 48000     # "a write brings up to 48,000"
ORIGIN_S = 0.05         # "answers in 16 to 55 ms"


def case(record, fronts, folder):
    feed = Feed(record, settings())
    used = set()

    def answer(node, command):
        # An id that no node knows: "to what they cannot use, cache nodes answer 'error'".
        if command["fields"].get("item") in used:
            return ORIGIN_S, "FAULT", "-", b""
        return hit(b"p" * 10000, 0.02)

    nodes = [Node(record, i, CACHE, "edge-1", 8, answer) for i in range(1, 7)]
    nodes += [Node(record, 20, PARENT, "east-hub", 24, answer), Node(record, 30, ORIGIN, "east-hub", 1, answer)]
    for node in nodes:
        node.quiet = True
    feed.members([instance(node) for node in nodes], True)
    port = free_port()
    front = Front(record, folder, config(port, feed, MEMORY_MB, SOCKETS), "front")
    fronts.append(front)
    front.wait_ready(port)

    killed, most = threading.Event(), [0]

    def platform():
        # "Over memory_mb the front is killed."
        while front.process.poll() is None:
            used_kb = front.memory_kb()
            if used_kb > most[0]:
                most[0] = used_kb
            if used_kb > MEMORY_MB * 1024:
                record("platform: the front holds %d KB of memory of its own, the limit is %d MB" % (used_kb, MEMORY_MB))
                killed.set()
                front.signal(signal.SIGKILL)
                return
            time.sleep(0.005)

    usual, stop = Client(record, port, "usual"), threading.Event()
    usual.quiet = True
    spawn(platform)

    def ask():
        while not stop.is_set() and usual.ended is None:
            try:
                usual.request("page-bits", "%016x" % random.getrandbits(64), 2500)
            except OSError:
                return
            time.sleep(0.01)

    asking = spawn(ask)
    time.sleep(4)
    record("calm: %d of %d requests of the usual client answered, memory %d KB" %
           (len(usual.answers), len(usual.sent), front.memory_kb()))
    bad = []

    def misbehave(number):
        try:
            client = Client(record, port, "bad%d" % number)
            client.quiet = True
            bad.append(client)
            for _ in range(AT_ONCE):
                item = "%016x" % random.getrandbits(64)
                used.add(item)
                client.request("book-car", item, 3000, body=BODY)
        except OSError:
            pass

    if TROUBLE:
        record("%d bad clients send %d writes of %d bytes each at once" % (BAD_CLIENTS, AT_ONCE, len(BODY)))
        for number in range(BAD_CLIENTS):
            spawn(misbehave, number)
    time.sleep(4)
    stop.set()
    asking.join()
    time.sleep(3)
    lost = usual.open_requests()
    record("the front held %d KB at most; bad clients sent %d requests; %d of %d requests of the usual client unanswered" %
           (most[0], sum(len(client.sent) for client in bad), len(lost), len(usual.sent)))
    if killed.is_set():
        return ["the front was killed for its memory: %d KB, the limit is %d MB; %d requests of the usual client are lost" %
                (most[0], MEMORY_MB, len(lost))]
    if front.process.poll() is not None:
        return ["the front ended by itself: %s" % front.process.poll()]
    if lost:
        return ["%d requests of the usual client are lost" % len(lost)]
    return []


run(HERE, case)
