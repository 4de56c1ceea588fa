import json

import testtools

from ..platform.documents import DOCUMENT_KEY
from .test_sitenode import Site, build_document, wait_until

ROUTE = "r-réservation-予約"
TENANT = "crédit-信用"


class NameTests(testtools.TestCase):
    """Names that are not ASCII must pass from node to node and to backend servers."""

    def test_route_and_tenant_whose_names_are_not_ascii_are_served(self):
        site = Site(self)
        self.assertTrue(wait_until(site.is_converged))
        document = json.loads(build_document(8))
        names = {"r-far": ROUTE, "census": TENANT}
        for row in document["Resources"]:
            name = row["Metadata"]["Name"]
            row["Metadata"]["Name"] = names.get(name, name)
        site.store.state.put(DOCUMENT_KEY, json.dumps(document).encode())
        documents = [node.documents for node, _ in site.nodes.values()]
        self.assertTrue(wait_until(lambda: {d.version for d in documents} == {8}))
        self.assertEqual(200, site.call("/far/", method="POST", body=b"x").status)
        ((_, headers, _),) = site.servers["far"].requests
        self.assertEqual(TENANT, headers["x-tenant"])
