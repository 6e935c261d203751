"""A purge that the follower has applied and kept is forgotten after its writer and then it are restarted."""
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig-2"))
from rig import *  # noqa: E402,F403

LIMIT_S = 0.55  # 500 ms, and 50 ms on sockets


class Copies:
    """What caches and the parent hold. They keep the page's rules on `oldest`, `from` and purges that nobody told them."""

    def __init__(self):
        self.held = {}

    def answer(self, node, command):
        fields, now = command["fields"], int(time.time() * 1000)
        key = (node.id, fields.get("item"), fields.get("chunk"))
        oldest, born = int(fields.get("oldest", "0")), self.held.get(key)
        if node.kind == ORIGIN:
            return hit(b"given out at %d" % now, 0.005, now)
        if born is not None and (oldest == 0 or now - born <= oldest):
            return hit(b"given out at %d" % born, 0.005, born)
        if "from" not in fields:
            return 0.005, "NONE", "tell=not_there", b""
        self.held[key] = now
        return hit(b"given out at %d" % now, 0.02, now, "pulled_far")


def case(record, fronts, folder):
    deployment, copies = settings(2), Copies()
    nodes = [Node(record, i, CACHE, "edge-1", 8, copies.answer) for i in range(1, 4)]
    nodes += [Node(record, 20, PARENT, "east-hub", 24, copies.answer), Node(record, 30, ORIGIN, "east-hub", 1, copies.answer)]
    ports, feeds, ledger = [free_port(), free_port()], [], free_port()
    for number in range(2):
        feeds.append(Feed(record, deployment, "feed of front %d" % number))
        feeds[number].members([instance(node) for node in nodes], True)
    parts = [{"control": {"path": os.path.join(folder, "control")}, "purges": {"serve": "127.0.0.1:%d" % ledger}},
             {"purges": {"file": os.path.join(folder, "ledger"), "follow": {"address": "127.0.0.1:%d" % ledger}}}]

    def start(number, name):
        made = config(ports[number], feeds[number], name="n%d" % number, deployment=dict(deployment, index=number))
        front = Front(record, folder, made, name, settings=parts[number])
        fronts.append(front)
        front.wait_ready(ports[number])
        return front

    def ask(item):
        client = Client(record, ports[1])
        answer = client.wait(client.request("car-video", item, 5000))
        client.close()
        if answer is None or answer[1] != 1:
            raise CannotRun("a request of a calm time is not served")
        return int(answer[2].split()[-1])

    writer, follower = start(0, "writer"), start(1, "follower")
    time.sleep(3)
    item = "%016x" % random.getrandbits(64)
    ask(item)
    time.sleep(3)
    done = command(record, "purge", "--object", item, "--id", "photos-1", "--why", "new photos", "--settings",
                   os.path.join(folder, "writer.settings.json"))
    purged_at = int(time.time() * 1000)
    if done.returncode != 0:
        raise CannotRun("the purge is not accepted")
    time.sleep(2)
    if TROUBLE:
        for number, front, name in [(0, writer, "writer-again"), (1, follower, "follower-again")]:
            front.signal(signal.SIGKILL)
            front.process.wait()
            time.sleep(0.5)
            feeds[number].restart()
            feeds[number].members([instance(node) for node in nodes], True)
            start(number, name)
            time.sleep(4)
    asked_at = time.time()
    born = ask(item)
    record("the purge was accepted at %d; the copy served %.1f s later was given out at %d" %
           (purged_at, time.time() - purged_at / 1000, born))
    if born < purged_at - 1000 and asked_at - purged_at / 1000 > LIMIT_S:
        return ["object %s: %.1f s after its purge a copy from %.1f s before it was served" %
                (item, time.time() - purged_at / 1000, (purged_at - born) / 1000)]
    return []


run(HERE, case)
