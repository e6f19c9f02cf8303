"""gRPC methods that control replicas serve to each other."""

from oriolejunction.consensus import raft_messages
from oriolejunction.peers import rpc

DELIVER = rpc.Method(
    "Raft", "Deliver", raft_messages.Deliver, raft_messages.Delivered
)
HELLO = rpc.Method(
    "Raft", "Hello", raft_messages.Hello, raft_messages.Introduction
)
FORM = rpc.Method("Raft", "Form", raft_messages.Form, raft_messages.Formed)
JOIN = rpc.Method("Raft", "Join", raft_messages.Join, raft_messages.JoinReply)
LEAVE = rpc.Method(
    "Raft", "Leave", raft_messages.Leave, raft_messages.LeaveReply
)
FETCH_AUDIT = rpc.Method(
    "Raft", "FetchAudit", raft_messages.FetchAudit, raft_messages.AuditPage
)
