"""Ejection messages.

What passes between the traffic actor and the exchange of evidence.
"""


class EvidenceWanted:
    """Asks for a tuple of the `ServiceEvidence` that is due now."""

    __slots__ = ()


class EvidenceArrived:
    """Evidence of another node has come.

    Attributes:
        node: Name of the node.
        evidence: Tuple of `ServiceEvidence`.
    """

    __slots__ = ("node", "evidence")

    def __init__(self, node, evidence):
        self.node = node
        self.evidence = evidence
