"""Load.

Sends requests at a fixed rate, whatever the answers, and keeps what came back.
"""

import threading
import time
import uuid
from concurrent import futures

import msgspec
import urllib3

from persimmonlane.platform.headers import CREDENTIAL, MS_PER_S, REQUEST_ID, TIMEOUT
from persimmonlane.serving.answers import VERDICT_HEADER

THREADS = 32
TIMEOUT_S = 3.0


class Result(msgspec.Struct):
    """One request and its answer.

    Attributes:
        request_id: Identifier of the request.
        status: HTTP status, 0 if no answer came.
        verdict: Verdict of the node, empty if a backend server answered.
        latency_s: Seconds until the answer or the failure.
    """

    request_id: str
    status: int
    verdict: str
    latency_s: float


class Flow:
    """Requests at a fixed rate.

    Attributes:
        addresses: Addresses of the nodes, used in turn.
        results: The `Result`s so far.
    """

    def __init__(self, addresses, rate, method, path, host, key, body=None):
        self.addresses = list(addresses)
        self.results = []
        self._rate = rate
        self._method = method
        self._path = path
        self._headers = {
            "Host": host,
            CREDENTIAL: key,
            TIMEOUT: str(int(TIMEOUT_S * MS_PER_S)),
        }
        self._body = body
        self._http = urllib3.PoolManager(16, maxsize=THREADS, retries=False)
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
        begun = time.monotonic()
        number = 0
        while not self._ended.is_set():
            delay_s = begun + number / self._rate - time.monotonic()
            if delay_s > 0 and self._ended.wait(delay_s):
                return
            addresses = self.addresses
            self._executor.submit(self._send, addresses[number % len(addresses)])
            number += 1

    def _send(self, address):
        request_id = uuid.uuid4().hex
        sent = time.monotonic()
        status, verdict = 0, ""
        try:
            answer = self._http.request(
                self._method,
                f"http://{address}{self._path}",
                headers={**self._headers, REQUEST_ID: request_id},
                body=self._body,
                timeout=TIMEOUT_S + 1.0,
            )
            status, verdict = answer.status, answer.headers.get(VERDICT_HEADER, "")
        except urllib3.exceptions.HTTPError:
            verdict = "no-answer"
        latency_s = time.monotonic() - sent
        self.results.append(Result(request_id, status, verdict, latency_s))
