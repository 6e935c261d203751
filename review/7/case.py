"""A purge that is accepted during an upgrade is not known to the process that serves from then on."""
import os
import random
import signal
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig-2"))
from rig import *  # noqa: E402,F403

LIMIT_S = 0.55  # 500 ms, and 50 ms on sockets
BINDING_S = 2  # "What the control feed tells becomes binding 2 s after the yes"


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
    deployment, copies = settings(), Copies()
    nodes = [Node(record, i, CACHE, "edge-1", 8, copies.answer) for i in range(1, 4)]
    nodes += [Node(record, 20, PARENT, "east-hub", 24, copies.answer), Node(record, 30, ORIGIN, "east-hub", 1, copies.answer)]
    feed = Feed(record, deployment)
    feed.members([instance(node) for node in nodes], True)
    # The platform holds the clients' socket. Both processes have the same settings, but for the operators' path.
    held = listener()
    # "$TMPDIR is shared and is not emptied."
    shared, yes_at = os.path.join(folder, "tmp"), []
    os.mkdir(shared)
    port = held.getsockname()[1]

    def start(name):
        parts = {"control": {"path": os.path.join(folder, name + ".control")},
                 "purges": {"file": os.path.join(folder, "ledger")}}
        ops = "127.0.0.1:%d" % free_port()
        front = Front(record, folder, config(port, feed, deployment=deployment), name, settings=parts, ops=ops, accept=held, shared=shared)
        fronts.append(front)
        until = time.time() + 6
        while time.time() < until:
            try:
                if ops_call(ops, "health").startswith("+OK"):
                    record("%s: says yes" % name)
                    yes_at.append(time.time())
                    return front
            except OSError:
                time.sleep(0.05)
        raise CannotRun("%s does not say yes" % name)

    def ask(item):
        client = Client(record, port)
        answer = client.wait(client.request("car-video", item, 5000))
        client.close()
        if answer is None or answer[1] != 1:
            raise CannotRun("a request of a calm time is not served")
        return int(answer[2].split()[-1])

    old = start("old")
    time.sleep(2)
    item = "%016x" % random.getrandbits(64)
    ask(item)
    time.sleep(3)
    if TROUBLE:
        start("new")
        time.sleep(1)
    done = command(record, "purge", "--object", item, "--id", "photos-1", "--why", "new photos", "--settings",
                   os.path.join(folder, "old.settings.json"))
    purged_at = int(time.time() * 1000)
    if done.returncode != 0:
        raise CannotRun("the purge is not accepted")
    if TROUBLE:
        time.sleep(1)
        old.signal(signal.SIGTERM)
        try:
            record("old: ended with %d" % old.process.wait(3.7))
        except subprocess.TimeoutExpired:
            old.signal(signal.SIGKILL)
    time.sleep(2)
    asked_at = time.time()
    born = ask(item)
    record("the purge was accepted at %d; the copy served %.1f s later was given out at %d" %
           (purged_at, time.time() - purged_at / 1000, born))
    binding = max(purged_at / 1000, yes_at[-1] + BINDING_S) + LIMIT_S
    if born < purged_at - 1000 and asked_at > binding:
        return ["object %s: %.1f s after its purge a copy from %.1f s before it was served" %
                (item, time.time() - purged_at / 1000, (purged_at - born) / 1000)]
    return []


run(HERE, case)
