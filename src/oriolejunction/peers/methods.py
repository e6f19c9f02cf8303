"""gRPC methods of the Control and Gossip services."""

from oriolejunction import document_messages
from oriolejunction import gossip_wire
from oriolejunction import messages
from oriolejunction.peers import rpc

PROPOSE = rpc.Method(
    "Control", "Propose", messages.ProposeRequest, messages.ProposeReply
)
RENEW = rpc.Method(
    "Control", "Renew", messages.RenewRequest, messages.RenewReply
)
CONTENT = rpc.Method(
    "Control",
    "Content",
    document_messages.PieceRequest,
    messages.ContentReply,
)
STATUS = rpc.Method(
    "Control", "Status", messages.StatusRequest, messages.StatusReply
)
AUDIT = rpc.Method(
    "Control", "Audit", messages.AuditRequest, messages.AuditReply
)
IN_FORCE = rpc.Method(
    "Control", "InForce", messages.InForceRequest, messages.InForceReply
)
GOSSIP = rpc.Method(
    "Gossip", "Tell", gossip_wire.GossipRequest, gossip_wire.GossipReply
)
AWAIT_IN_FORCE = rpc.Method(
    "Control",
    "AwaitInForce",
    messages.AwaitInForceRequest,
    messages.AwaitInForceReply,
)
