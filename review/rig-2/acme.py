"""The project's stand-in authority beside a front with a TLS listener, for the cases on certificates."""
import http.client
import json
import os
import socket
import ssl
import subprocess
import time

from rig import ORIGIN, ROOT, CACHE, CannotRun, Feed, Front, Node, config, free_port, hit, instance, settings

KEPT, REFUSED = "front1.east.example.org", "front1.example.org"
AUTHORITY = os.path.join(ROOT, "target", "release", "examples", "acme-authority")


class Authority:
    def __init__(self, record, fronts, folder, lifetime_s):
        if not os.path.exists(AUTHORITY):
            raise CannotRun("review/build-2.sh has not been run")
        self.record, self.name = record, "authority"
        self.port, self.http, self.tls = free_port(), free_port(), free_port()
        self.root = os.path.join(folder, "root.pem")
        self.log_path = os.path.join(folder, "authority.log")
        self.process = subprocess.Popen([AUTHORITY, "--listen", "127.0.0.1:%d" % self.port, "--http-port", str(self.http),
                                         "--tls-port", str(self.tls), "--lifetime-s", str(lifetime_s), "--root-out",
                                         self.root], stdout=open(self.log_path, "w"), stderr=subprocess.STDOUT)
        fronts.append(self)
        until = time.time() + 10
        while not os.path.exists(self.root) or os.path.getsize(self.root) == 0:
            if time.time() > until or self.process.poll() is not None:
                raise CannotRun("the authority does not start")
            time.sleep(0.05)

    def faults(self, **faults):
        context = ssl.create_default_context()
        context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
        line = http.client.HTTPSConnection("127.0.0.1", self.port, context=context, timeout=10)
        line.request("POST", "/manage", json.dumps({"faults": faults}))
        answer = line.getresponse()
        if answer.status != 200:
            raise CannotRun("the authority refuses to be managed")
        self.record("authority: from now on %s" % faults)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def parts(authority, folder):
    return {"tls": {"listen": "127.0.0.1:%d" % authority.tls},
            "certs": {"directory": os.path.join(folder, "certs"), "certificates": [{"names": [KEPT, REFUSED]}],
                      "http_listen": "127.0.0.1:%d" % authority.http,
                      "authority": {"directory_url": "https://127.0.0.1:%d/directory" % authority.port,
                                    "roots_file": authority.root, "terms_agreed": True, "challenge": "http-01"}}}


def deployment(record):
    made = settings()
    feed = Feed(record, made)
    nodes = [Node(record, 1, CACHE, "edge-1", 8, lambda node, command: hit()),
             Node(record, 30, ORIGIN, "east-hub", 1, lambda node, command: hit())]
    feed.members([instance(node) for node in nodes], True)
    return feed


def start(record, fronts, folder, feed, port, name, authority):
    front = Front(record, folder, config(port, feed), name, settings=parts(authority, folder))
    fronts.append(front)
    front.wait_ready(port)
    return front


def certificate(record, authority, name, verify=True):
    """The certificate that a client is given for a name: its text fields; or the reason why the handshake failed."""
    context = ssl.create_default_context(cafile=authority.root)
    if not verify:
        context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    context.set_alpn_protocols(["cranesill/1"])
    try:
        with socket.create_connection(("127.0.0.1", authority.tls), 5) as plain:
            with context.wrap_socket(plain, server_hostname=name) as secure:
                found = secure.getpeercert()
                names = [n for _, n in found.get("subjectAltName", ())]
                ends = ssl.cert_time_to_seconds(found["notAfter"]) if found else 0
                record("handshake for %s: names %s, valid for %.0f s more" % (name, names, ends - time.time()))
                return {"names": names, "ends": ends, "serial": found.get("serialNumber")}
    except (OSError, ssl.SSLError) as error:
        record("handshake for %s failed: %s" % (name, error))
        return str(error)


def until_covered(record, authority, seconds):
    until = time.time() + seconds
    while time.time() < until:
        found = certificate(record, authority, REFUSED)
        if isinstance(found, dict):
            return found
        time.sleep(0.5)
    raise CannotRun("no certificate was issued")
