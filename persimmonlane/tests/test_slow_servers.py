import testtools

from ..serving.connections import TCP_USER_TIMEOUT_MS
from ..standins.backend import Script
from .test_sitenode import PATIENCE_S, Site, wait_until

# Longer than sent data may stay unacknowledged on connections between VMs.
UNREAD_S = TCP_USER_TIMEOUT_MS / 1000 + 1.0
# More than the buffers between the node and the backend server take.
BODY_BYTES = 16 * 1024 * 1024


class SlowServerTests(testtools.TestCase):
    """A backend server that reads late must not lose the request."""

    def test_long_body_that_stays_unread_for_a_while_is_served(self):
        site = Site(self)
        self.assertTrue(wait_until(site.is_converged))
        site.servers["near"].script = Script(unread_s=UNREAD_S)
        body = b"x" * BODY_BYTES
        answer = site.call("/near/", method="POST", body=body, timeout=PATIENCE_S)
        self.assertEqual(200, answer.status)
        ((_, _, received),) = site.servers["near"].requests
        self.assertEqual(body, received)
