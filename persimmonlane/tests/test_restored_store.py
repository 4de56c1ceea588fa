import testtools

from ..platform.documents import DOCUMENT_KEY
from .test_sitenode import Site, build_document, wait_until


class RestoredSiteTests(testtools.TestCase):
    """Nodes whose store comes back from a copy, over real connections."""

    def setUp(self):
        super().setUp()
        self.site = Site(self, store_era=1)
        self.state = self.site.store.state
        self.assertTrue(wait_until(self.site.is_converged))
        self.assertTrue(wait_until(self.is_served))

    def is_served(self):
        return all(
            self.site.call("/near/", service).status == 200
            for service in ("near", "far")
        )

    def is_in_force(self, version):
        return all(
            node.documents.version == version for node, _ in self.site.nodes.values()
        )

    def test_site_goes_on_after_a_restore(self):
        copy = self.state.take_copy()
        self.state.put(DOCUMENT_KEY, build_document(8))
        self.assertTrue(wait_until(lambda: self.is_in_force(8)))
        self.state.expire_leases()
        self.state.restore(copy)
        self.assertTrue(
            wait_until(
                lambda: all(
                    node.documents.stamp.generation == 1
                    and node._generations.current == 2
                    for node, _ in self.site.nodes.values()
                )
            )
        )
        self.assertTrue(self.is_in_force(8))
        self.state.put(DOCUMENT_KEY, build_document(8))
        self.state.put(DOCUMENT_KEY, build_document(9))
        self.assertTrue(wait_until(lambda: self.is_in_force(9)))
        self.assertTrue(wait_until(lambda: len(self.state.keys()) == 3))
        self.assertTrue(wait_until(self.is_served))

    def test_node_that_starts_after_a_restore_serves_the_newer_document(self):
        copy = self.state.take_copy()
        self.state.put(DOCUMENT_KEY, build_document(8))
        self.assertTrue(wait_until(lambda: self.is_in_force(8)))
        self.state.restore(copy)
        self.site.nodes["far"][0].stop()
        self.site.restart_node(self, "far")
        self.assertTrue(wait_until(lambda: self.is_in_force(8)))
        self.state.put(DOCUMENT_KEY, build_document(8))
        self.assertTrue(wait_until(self.is_served))
