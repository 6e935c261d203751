"""A spoilt answer makes the front write a frame that no client can read, and all else on that connection is lost."""
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig-2"))
from rig import *  # noqa: E402,F403

SPOILT_BYTES = 262144  # an object has 240,000 at most
OTHERS = 8


def case(record, fronts, folder):
    feed, spoilt = Feed(record, settings()), set()

    def answer(node, command):
        if command["fields"].get("item") in spoilt:
            # A good answer whose length does not fit: noise keeps coming up to it.
            return hit(os.urandom(SPOILT_BYTES) if TROUBLE else b"o" * 240000, 0.005)
        return hit(b"o" * 1000, 0.05)

    nodes = [Node(record, i, CACHE, "edge-1", 8, answer) for i in range(1, 4)]
    nodes += [Node(record, 20, PARENT, "east-hub", 24, answer), Node(record, 30, ORIGIN, "east-hub", 1, answer)]
    feed.members([instance(node) for node in nodes], True)
    port = free_port()
    front = Front(record, folder, config(port, feed), "front")
    fronts.append(front)
    front.wait_ready(port)
    client = Client(record, port)
    item = "%016x" % random.getrandbits(64)
    spoilt.add(item)
    client.request("car-video", item, 5000)
    others = [client.request("car-video", "%016x" % random.getrandbits(64), 5000) for _ in range(OTHERS)]
    time.sleep(6)
    lost = [stream for stream in others if stream not in client.answers]
    record("%d of %d other requests on the connection unanswered" % (len(lost), OTHERS))
    if client.unreadable and lost:
        return ["the front wrote a frame of length %d (5 to 262,144 are allowed): the connection can't be read on, and %d other "
                "requests on it are lost" % (client.unreadable, len(lost))]
    if lost:
        return ["%d requests are lost" % len(lost)]
    return []


run(HERE, case)
