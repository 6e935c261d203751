"""Stand-ins for the cases 6 to 10: control feed, cache nodes, clients, and the start of a front by the deploy file.

They follow PROTOCOL-cranesill.md: clients' frames, RESP arrays, numbered events from 1 at each start of a front. All
addresses are loopback. Everything that is sent, answered and run goes into record.txt of the case.
"""
import json
import os
import re
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CACHE, PARENT, ORIGIN = "small-box", "parent", "origin"


class CannotRun(Exception):
    """The case could not run: exit code 2."""


class Record:
    def __init__(self, folder):
        self.start = time.time()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.time() - self.start, text))


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def listener(rcvbuf=None):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", 0))
    s.listen(1024)
    return s


def spawn(target, *args):
    thread = threading.Thread(target=target, args=args, daemon=True)
    thread.start()
    return thread


# ---- The control feed -------------------------------------------------------------------------------------------

def instance(node, state="in_service"):
    return {"instanceId": "s-%08x" % node.id, "hostPort": "127.0.0.1:%d" % node.port, "zone": node.zone,
            "machineType": node.kind, "cell": node.id, "lifecycle": state, "weight": node.weight, "startedAtMs": 0}


STATES = {"in_service": 0, "terminating": 1, "terminated": 2}


def members_frame(settings, complete, entries):
    out = b""
    for e in entries:
        host, port = e["hostPort"].split(":")
        out += struct.pack(">I4sHBBBHIQ", int(e["instanceId"][2:], 16), socket.inet_aton(host), int(port),
                           STATES[e["lifecycle"]], settings["zones"].index(e["zone"]),
                           settings["kinds"].index(e["machineType"]), e["cell"], int(e["weight"] * 1000),
                           e["startedAtMs"])
    return (1 if complete else 2), out


class Feed:
    """Events of one start of one front, numbered from 1. `known()` is what stands in its configuration."""

    def __init__(self, record, settings, name="feed"):
        self.record, self.settings, self.name = record, settings, name
        self.events = []
        self.socket = listener()
        self.port = self.socket.getsockname()[1]
        self.lock = threading.Lock()
        self.closed = False
        self.starts = 1
        spawn(self.accept)

    def restart(self):
        """Another start of the front: events are numbered from 1 again."""
        with self.lock:
            self.events = []
            self.starts += 1
            self.record("%s: numbers begin at 1 again, for start %d of the front" % (self.name, self.starts))

    def add(self, body):
        with self.lock:
            self.events.append(body)
            self.record("%s: event %d is in the feed: %s" % (self.name, len(self.events), json.dumps(body)))

    def members(self, entries, reset=False):
        self.add({"members": {"generation": len(self.events) + 1, "reset": reset, "instances": entries}})

    def purge(self, key, at_ms):
        self.add({"purge": {"key": key, "at": at_ms}})

    def known(self):
        with self.lock:
            events = [dict(n=n + 1, **body) for n, body in enumerate(self.events)]
        return {"n": len(events), "events": events}

    def frame(self, number, body):
        if body is None:
            kind, payload = 0, b""
        elif "members" in body:
            m = body["members"]
            kind, payload = members_frame(self.settings, number == 1 or m["reset"], m["instances"])
        else:
            kind, payload = 3, struct.pack(">QQ", int(body["purge"]["key"], 16), body["purge"]["at"])
        return struct.pack(">IQB", 9 + len(payload), number, kind) + payload

    def accept(self):
        while not self.closed:
            try:
                s, _ = self.socket.accept()
            except OSError:
                return
            spawn(self.serve, s)

    def serve(self, s):
        try:
            held = struct.unpack(">Q", recv_exact(s, 8))[0]
            self.record("%s: a front asks for what follows event %d" % (self.name, held))
            empty_at = time.time() + 1
            starts = self.starts
            while not self.closed and starts == self.starts:
                with self.lock:
                    last = len(self.events)
                    later = [(n + 1, self.events[n]) for n in range(min(held, last), last)]
                for number, body in later:
                    s.sendall(self.frame(number, body))
                    self.record("%s: event %d sent" % (self.name, number))
                    held = number
                if time.time() >= empty_at:
                    s.sendall(self.frame(last, None))
                    empty_at += 1
                time.sleep(0.01)
        except OSError:
            pass
        s.close()

    def close(self):
        self.closed = True
        self.socket.close()


def recv_exact(s, n):
    out = b""
    while len(out) < n:
        piece = s.recv(n - len(out))
        if not piece:
            raise OSError("closed")
        out += piece
    return out


# ---- Cache nodes ------------------------------------------------------------------------------------------------

class Node:
    """A cache node, parent or origin. `answer(node, command)` returns (delay in s, word, fields, body) or None."""

    def __init__(self, record, number, kind, zone, weight, answer):
        self.record, self.id, self.kind, self.zone, self.weight, self.answer = record, number, kind, zone, weight, answer
        self.name = "s-%08x" % number
        self.socket = listener()
        self.port = self.socket.getsockname()[1]
        self.fetches = []
        self.quiet = False
        spawn(self.accept)

    def accept(self):
        while True:
            try:
                s, _ = self.socket.accept()
            except OSError:
                return
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            spawn(self.serve, s)

    def serve(self, s):
        buffer, lock, aborted = s.makefile("rb"), threading.Lock(), set()
        try:
            while True:
                words = read_array(buffer)
                if words is None:
                    break
                now = time.time()
                if words[0] == b"fetch":
                    fields = dict(f.split("=", 1) for f in words[2].decode().split(",") if "=" in f)
                    command = {"id": words[1].decode(), "fields": fields, "body": words[3], "at": now}
                    self.fetches.append(command)
                    if not self.quiet:
                        self.record("%s: fetch %s %s" % (self.name, command["id"], words[2].decode()))
                    found = self.answer(self, command)
                    if found is not None:
                        self.reply(s, lock, aborted, command, found)
                elif words[0] == b"abort":
                    aborted.add(words[1].decode())
                    if not self.quiet:
                        self.record("%s: abort %s" % (self.name, words[1].decode()))
        except OSError:
            pass

    def reply(self, s, lock, aborted, command, found):
        delay, word, fields, body = found

        def send():
            if command["id"] in aborted:
                return
            parts = [command["id"].encode(), word.encode(), fields.encode() or b"-", body]
            data = b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)
            try:
                with lock:
                    s.sendall(data)
                if not self.quiet:
                    self.record("%s: %s %s %s, %d bytes" % (self.name, command["id"], word, fields, len(body)))
            except OSError:
                pass
        if delay > 0:
            timer = threading.Timer(delay, send)
            timer.daemon = True
            timer.start()
        else:
            send()


def read_array(f):
    line = f.readline()
    if not line:
        return None
    words = []
    for _ in range(int(line[1:])):
        n = int(f.readline()[1:])
        words.append(f.read(n))
        f.read(2)
    return words


def hit(body=b"x" * 100, delay=0.0, born=None, note="local"):
    """An answer that a sound cache node gives: the bytes, their tag, and when the origin gave out this copy."""
    born = born if born is not None else int(time.time() * 1000) - 50
    return delay, "HIT", "ver=aa11,born=%d,tell=%s" % (born, note), body


# ---- Clients ----------------------------------------------------------------------------------------------------

class Client:
    """A client on one connection. `pace`: it reads at most so many bytes a second."""

    def __init__(self, record, port, name="client", pace=None, rcvbuf=None):
        self.record, self.name, self.pace = record, name, pace
        self.socket = socket.socket()
        if rcvbuf:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.connect(("127.0.0.1", port))
        self.sent, self.answers, self.told_to_leave, self.ended = {}, {}, False, None
        self.unreadable = None
        self.stream = 0
        self.quiet = False
        self.lock = threading.Lock()
        spawn(self.read)

    def request(self, verb, item, limit, part=0, group=1, body=b""):
        with self.lock:
            self.stream += 1
            stream = self.stream
        fields = {"verb": verb, "txn": os.urandom(8).hex(), "limit": str(limit), "item": item, "part": str(part),
                  "group": str(group)}
        data = bytes([len(fields)])
        for name, value in fields.items():
            data += bytes([len(name)]) + name.encode() + struct.pack(">H", len(value)) + value.encode()
        data += body
        self.sent[stream] = time.time()
        self.socket.sendall(struct.pack(">IBI", 5 + len(data), 10, stream) + data)
        if not self.quiet:
            self.record("%s: request %d %s %s txn %s" % (self.name, stream, verb, item, fields["txn"]))
        return stream

    def ready(self):
        self.socket.sendall(struct.pack(">IBI", 6, 20, 1) + b"\0")

    def read(self):
        buffer, began, got = b"", time.time(), 0
        try:
            while True:
                piece = self.socket.recv(16384)
                if not piece:
                    self.ended = (time.time(), "closed by the front")
                    break
                buffer += piece
                if self.pace:
                    got += len(piece)
                    ahead = got / self.pace - (time.time() - began)
                    if ahead > 0:
                        time.sleep(ahead)
                    elif ahead < -0.05:
                        # It never makes up for a pause: the pace is an upper bound at each moment.
                        began, got = time.time(), 0
                while len(buffer) >= 9:
                    length, kind, stream = struct.unpack(">IBI", buffer[:9])
                    if not 5 <= length <= 262144:
                        self.unreadable = length
                        raise OSError("a frame of length %d can't be read: 5 to 262,144 are allowed" % length)
                    if len(buffer) < 4 + length:
                        break
                    payload, buffer = buffer[9:4 + length], buffer[4 + length:]
                    self.frame(kind, stream, payload)
        except OSError as error:
            self.ended = (time.time(), str(error))
            if self.unreadable:
                self.socket.close()
        self.record("%s: connection ended, %s" % (self.name, self.ended[1]))

    def frame(self, kind, stream, payload):
        if kind == 11:
            self.answers.setdefault(stream, []).append((time.time(), payload[0], payload[2:66]))
            if not self.quiet or payload[0] != 1:
                code = {1: "served", 2: "refused", 3: "failed"}.get(payload[0], payload[0])
                text = payload[2:40].decode(errors="replace") if payload[0] == 1 else ""
                self.record("%s: answer %d %s, %d bytes %s" % (self.name, stream, code, len(payload), text))
        elif kind == 21:
            self.answers.setdefault("ready", []).append((time.time(), payload[0], b""))
        elif kind == 30:
            self.told_to_leave = True
            self.record("%s: told to open nothing new" % self.name)

    def wait(self, stream, seconds=6):
        """The first answer on a stream: its time, code and the beginning of its body; None if there is none."""
        until = time.time() + seconds
        while time.time() < until and stream not in self.answers:
            time.sleep(0.005)
        return self.answers[stream][0] if stream in self.answers else None

    def open_requests(self):
        return [s for s in list(self.sent) if s not in self.answers]

    def close(self):
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()


# ---- The front --------------------------------------------------------------------------------------------------

def deploy_command(word):
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
        return re.search(r'^%s = "([^"]*)"' % word, f.read(), re.M).group(1)


class Front:
    """A process of the front, started with `run` of the deploy file from the root of the repository."""

    def __init__(self, record, folder, config, name="front", settings=None, ops=None, accept=None, shared=None):
        self.record, self.name = record, name
        # "$TMPDIR, which is private, empty at each start"; in an upgrade it "is shared and is not emptied".
        tmp = shared or tempfile.mkdtemp(prefix="tmp-", dir=folder)
        self.config_path = os.path.join(folder, name + ".json")
        with open(self.config_path, "w") as f:
            json.dump(config, f)
        self.log_path = os.path.join(folder, name + ".log")
        env = dict(os.environ, RELAY_CONFIG=self.config_path, RELAY_NAME=config["name"], RELAY_LISTEN=config["listen"],
                   TMPDIR=tmp)
        if ops:
            env["RELAY_OPS"] = ops
        pass_fds = ()
        preexec = None
        if accept is not None:
            env["RELAY_ACCEPT_FD"] = "3"
            number = accept.fileno()

            def preexec():
                os.dup2(number, 3)
                os.set_inheritable(3, True)
            pass_fds = (3, number)
        command = deploy_command("run")
        if settings is not None:
            path = os.path.join(folder, name + ".settings.json")
            with open(path, "w") as f:
                json.dump(settings, f)
            command += " --settings " + path
        record("%s: start: %s" % (name, deploy_command("run") + (" --settings FILE" if settings is not None else "")))
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=open(self.log_path, "w"), stderr=subprocess.STDOUT, pass_fds=pass_fds,
                                        preexec_fn=preexec)
        self.pid = self.process.pid

    def wait_ready(self, port, seconds=15):
        until = time.time() + seconds
        while time.time() < until:
            if self.process.poll() is not None:
                raise CannotRun("%s ended at its start: %s" % (self.name, open(self.log_path).read()[-400:]))
            try:
                c = Client(self.record, port, self.name + " ready?")
                c.quiet = True
                c.ready()
                time.sleep(0.1)
                found = c.answers.get("ready")
                c.close()
                if found and found[0][1] == 1:
                    self.record("%s: ready" % self.name)
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun("%s is not ready" % self.name)

    def signal(self, number):
        self.record("%s: %s" % (self.name, signal.Signals(number).name))
        os.kill(self.pid, number)

    def memory_kb(self):
        with open("/proc/%d/status" % self.pid) as f:
            found = re.search(r"RssAnon:\s+(\d+)", f.read())
        return int(found.group(1)) if found else 0

    def end(self):
        if self.process.poll() is None:
            os.kill(self.pid, signal.SIGKILL)
        self.process.wait()


def command(record, *words):
    """A sub-command of the program that the deploy file starts."""
    program = re.search(r"(\S*cranesill)\s", deploy_command("run") + " ").group(1)
    found = subprocess.run([program] + list(words), cwd=ROOT, capture_output=True, text=True, timeout=30)
    record("command: cranesill %s: %d %s %s" % (" ".join(w for w in words if "/" not in w), found.returncode,
                                                " ".join(found.stdout.split()), found.stderr.strip()))
    return found


def ops_call(address, line, timeout=5):
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout) as s:
        s.settimeout(timeout)
        s.sendall(line.encode() + b"\n")
        out = b""
        while True:
            piece = s.recv(65536)
            if not piece:
                return out.decode()
            out += piece


def settings(fronts=1):
    """The settings of a small deployment, after the example of the wire page."""
    return {
        "classes": [
            {"name": "car-video", "semantics": "pure", "streaming": False, "group": "all", "gain": 2.0, "lateWorth": 0.15,
             "aim": 600000, "aimStretch": 2.0, "deadline": 5000000, "memorySpan": 5000000},
            {"name": "page-bits", "semantics": "pure", "streaming": False, "group": "all", "gain": 1.0, "lateWorth": 0.2,
             "aim": 300000, "aimStretch": 2.0, "deadline": 2500000, "memorySpan": 5000000},
            {"name": "book-car", "semantics": "side_effect", "streaming": False, "group": "all", "gain": 3.0,
             "lateWorth": 0.0, "aim": 600000, "deadline": 3000000, "memorySpan": 5000000}],
        "clientHabits": {"marksRetry": True}, "countedBy": "request", "discovery": "automatic",
        "familyInfo": {"attachedTo": [0, 0], "classFresh": [0, 8000000, 0], "classStaleWorth": [0.7, 0.7, 0.7],
                       "classWrite": [False, False, True], "clientKbPerS": 6800.0, "feedKbPerS": [0.0, 82231.0],
                       "joins": True, "multiPart": [False, False, False], "notesGiven": "all", "originFallMultiple": 0.0,
                       "parentColdFrom": 0.064, "parentFallMultiple": 2.0, "parentWarmsIn": 22000000,
                       "passThroughOk": True, "peersFill": "silent", "purgeGrace": 500000, "purgeTakes": 6000000,
                       "rootFall": 3000000, "rootKind": 2, "seatsByZone": [0, fronts], "upperKind": 1,
                       "usableAfter": [0, 10000000, 0]},
        "index": 0, "kinds": [CACHE, PARENT, ORIGIN], "layer": 0, "nInstances": fronts,
        "policyLimits": {"cancelling": True, "connIdle": 15000000, "connectTimeout": 400000, "maxRetryAfter": 500000,
                         "mayDuplicate": False, "mayProbe": False, "openCap": 20000, "peers": True, "retryAfter": True,
                         "sendCap": 6, "streamsPerConn": 100},
        "report": {"fields": ["load_share", "concurrent", "x1"], "source": "piggyback"},
        "rules": {"answerSlack": 8000, "askWithin": 10000000, "cold": 15000000, "coldFrom": 0.15, "drainGrace": 500000,
                  "fallMultiple": 4.0, "overloadFor": 1500000},
        "tenants": [], "tiers": ["edge-cache"], "weightSource": "nominal", "zone": 1, "zones": ["east-hub", "edge-1"]}


PEERS = []  # "an address per front of the tier, its own included"


def config(port, feed, memory_mb=64, sockets=512, name="n1", ops=None, deployment=None):
    deployment = deployment or settings()
    while len(PEERS) <= deployment["nInstances"]:
        PEERS.append("127.0.0.1:%d" % free_port())
    peers = PEERS[1:deployment["nInstances"] + 1]
    found = {"name": name, "listen": "127.0.0.1:%d" % port, "seed": os.urandom(8).hex(),
             "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
             "peer_listen": peers[deployment["index"]], "peers": peers, "peers_all": PEERS[0],
             "feed": "127.0.0.1:%d" % feed.port, "flow_bytes_per_s": 6800000, "link_bytes_per_s": 82000000,
             "known": feed.known(), "settings": deployment}
    if ops:
        found["ops"] = ops
    return found


def run(folder, case):
    """Runs a case. It returns a list of what broke the rule. Ends all fronts that it put into the list that it is given."""
    record = Record(folder)
    fronts = []
    code = 2
    temporary = tempfile.mkdtemp(prefix="review-")

    def late(number, _):
        raise CannotRun("signal %d, or not done in 115 s" % number)
    signal.signal(signal.SIGALRM, late)
    signal.signal(signal.SIGTERM, late)
    signal.alarm(115)
    try:
        record("TROUBLE=%d" % TROUBLE)
        broken = case(record, fronts, temporary)
        for line in broken:
            record("BROKEN: " + line)
            print(line)
        record("the rule was %s" % ("broken" if broken else "kept"))
        print("the rule was %s" % ("broken" if broken else "kept"))
        code = 1 if broken else 0
    except CannotRun as error:
        record("could not run: %s" % error)
        print("could not run: %s" % error)
    except Exception as error:
        record("could not run: %r" % error)
        print("could not run: %r" % error)
    finally:
        for front in fronts:
            front.end()
            try:
                with open(front.log_path) as f:
                    for line in f.read().splitlines()[-60:]:
                        record("log of %s: %s" % (front.name, line.replace(temporary, "TMP")))
            except OSError:
                pass
        subprocess.run(["rm", "-rf", temporary])
        record("all processes of the case have ended")
    sys.stdout.flush()
    os._exit(code)
