"""Evidence.

What the nodes of a data centre tell each other about the backend servers of a
service. All sums are cumulative, so a message that is lost, doubled or overtaken
costs nothing but time.
"""

import msgspec

ENTRY_LIMIT = 64
RISE_WINDOWS = (4, 8, 16, 32)


class SymptomEvidence(msgspec.Struct, array_like=True):
    """One node's evidence of one symptom of a backend server.

    Attributes:
        total: Cumulative log-likelihood sum.
        rises: Rise of the sum over the last `RISE_WINDOWS`.
        score: The node's own CUSUM.
        windows: Bit mask of the windows with bad evidence in the present rise of
            the CUSUM, the present window first.
    """

    total: float
    rises: tuple[float, ...]
    score: float
    windows: int


class ServerEvidence(msgspec.Struct, array_like=True):
    """One node's evidence on one backend server.

    Attributes:
        address: Address of the backend server.
        incarnation: Incarnation of the backend server.
        symptoms: Evidence of each symptom.
    """

    address: str
    incarnation: int
    symptoms: tuple[SymptomEvidence, ...]


class ServiceEvidence(msgspec.Struct, array_like=True):
    """One node's evidence on one service.

    Attributes:
        service: Name of the service.
        epoch: Number that changes when the node's sums begin anew.
        sequence: Number that rises with each export.
        idle_s: Seconds since the node's last attempt on the service.
        entries: The backend servers that some node suspects, worst first.
    """

    service: str
    epoch: int
    sequence: int
    idle_s: float
    entries: tuple[ServerEvidence, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ServiceEvidence)


def encode_evidence(evidence):
    """Return evidence as bytes."""
    return _encoder.encode(evidence)


def decode_evidence(data):
    """Return the evidence in some bytes.

    Raises:
        msgspec.DecodeError: If the bytes hold something else.
    """
    return _decoder.decode(data)
