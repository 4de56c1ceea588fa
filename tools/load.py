"""Load.

Sends requests at a fixed rate, whatever the answers, and keeps what came back.
"""

import threading
import time
from concurrent import futures

import msgspec
import urllib3

from persimmonlane.standins.backend import SUBMISSION

VERDICT = "Persimmon-Verdict"
THREADS = 32
PIECE_BYTES = 64 * 1024


class Result(msgspec.Struct):
    """One request and its answer.

    Attributes:
        at: Monotonic seconds at which it was sent.
        organisation: Name of the organisation.
        method: HTTP method.
        submission: Identifier of the request.
        status: HTTP status, 0 if no whole answer came.
        code: Error code of the node, or an empty string.
        verdict: Verdict of the node, or an empty string.
        latency_s: Seconds until the whole answer or the failure.
        node: Address of the node.
        mixed: Whether the answer belonged to another request.
    """

    at: float
    organisation: str
    method: str
    submission: str
    status: int
    code: str
    verdict: str
    latency_s: float
    node: str
    mixed: bool = False


class Flow:
    """Requests of one organisation at a fixed rate.

    Attributes:
        organisation: Name of the organisation.
        key: Its key; may be changed while the flow runs.
        rate: Requests per second.
        method: HTTP method.
        path: Path of the requests.
        nodes: Addresses of the nodes, used in turn.
        body: Body of the requests, or None.
        results: The `Result`s so far.
    """

    def __init__(self, organisation, key, rate, method, path, nodes, body=None):
        self.organisation = organisation
        self.key = key
        self.rate = rate
        self.method = method
        self.path = path
        self.nodes = list(nodes)
        self.body = body
        self.results = []
        self._http = urllib3.PoolManager(
            num_pools=16, maxsize=THREADS, retries=False, timeout=10.0
        )
        self._executor = futures.ThreadPoolExecutor(THREADS)
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Begin to send."""
        self._thread.start()

    def stop(self):
        """Stop sending and wait for the answers; return the results."""
        self._ended.set()
        self._thread.join()
        self._executor.shutdown(wait=True)
        return self.results

    def _run(self):
        number = 0
        begun = time.monotonic()
        while not self._ended.is_set():
            due = begun + number / self.rate
            delay = due - time.monotonic()
            if delay > 0:
                self._ended.wait(delay)
                continue
            self._executor.submit(self._send, number)
            number += 1

    def _send(self, number):
        submission = f"{self.organisation}-{self.method}-{id(self)}-{number}"
        nodes = self.nodes
        node = nodes[number % len(nodes)]
        sent = time.monotonic()
        headers = {"X-Persimmon-Key": self.key, SUBMISSION: submission}
        status, code, verdict, mixed = 0, "", "", False
        try:
            answer = self._http.request(
                self.method,
                f"http://{node}{self.path}",
                headers=headers,
                body=self.body,
            )
            status = answer.status
            verdict = answer.headers.get(VERDICT, "")
            if verdict:
                code = msgspec.json.decode(answer.data)["code"]
            elif status == 200:
                mixed = submission.encode() not in answer.data
        except urllib3.exceptions.HTTPError as error:
            code = type(error).__name__
        self.results.append(
            Result(
                sent,
                self.organisation,
                self.method,
                submission,
                status,
                code,
                verdict,
                time.monotonic() - sent,
                node,
                mixed,
            )
        )


def upload(url, key, size_bytes):
    """Upload a body of a given size; return the HTTP status, 0 without answer."""
    pieces = (b"x" * PIECE_BYTES for _ in range(size_bytes // PIECE_BYTES))
    headers = {"X-Persimmon-Key": key, "Content-Length": str(size_bytes)}
    try:
        answer = urllib3.request(
            "PUT", url, body=pieces, headers=headers, retries=False, timeout=30.0
        )
    except urllib3.exceptions.HTTPError:
        return 0
    return answer.status
