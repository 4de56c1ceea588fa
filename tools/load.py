"""Open-loop load generator.

Sends requests at a fixed rate, independent of the responses, and records the results.
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
    """Result of one request.

    Attributes:
        request_id: Identifier of the request.
        status: HTTP status, or 0 without a response.
        verdict: Verdict of the node, empty if a backend server responded, or
            `no-answer` without a response.
        latency_s: Time until the response or the failure, in seconds.
    """

    request_id: str
    status: int
    verdict: str
    latency_s: float


class RequestStream:
    """Sends requests to nodes at a fixed rate.

    Attributes:
        addresses: Addresses of the nodes, used round-robin.
        results: The `Result`s so far, in order of completion.
    """

    def __init__(self, addresses, rate_per_s, method, path, host, key, body=None):
        self.addresses = list(addresses)
        self.results = []
        self._rate_per_s = rate_per_s
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
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start sending requests."""
        self._thread.start()

    def stop(self):
        """Stop sending and wait for outstanding responses; return the results."""
        self._stopped.set()
        self._thread.join()
        self._executor.shutdown(wait=True)
        return self.results

    def _run(self):
        started = time.monotonic()
        count = 0
        while not self._stopped.is_set():
            delay_s = started + count / self._rate_per_s - time.monotonic()
            if delay_s > 0 and self._stopped.wait(delay_s):
                return
            addresses = self.addresses
            self._executor.submit(self._send, addresses[count % len(addresses)])
            count += 1

    def _send(self, address):
        request_id = uuid.uuid4().hex
        started = time.monotonic()
        status, verdict = 0, ""
        try:
            response = self._http.request(
                self._method,
                f"http://{address}{self._path}",
                headers={**self._headers, REQUEST_ID: request_id},
                body=self._body,
                timeout=TIMEOUT_S + 1.0,
            )
            status, verdict = response.status, response.headers.get(VERDICT_HEADER, "")
        except urllib3.exceptions.HTTPError:
            verdict = "no-answer"
        latency_s = time.monotonic() - started
        self.results.append(Result(request_id, status, verdict, latency_s))
