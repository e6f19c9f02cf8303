"""gRPC methods of the Journal service, which journal replicas serve."""

from oriolejunction import journal_messages
from oriolejunction.peers import rpc

WRITE = rpc.Method(
    "Journal",
    "Write",
    journal_messages.JournalBatch,
    journal_messages.JournalBatchReply,
)
TAKE_OVER = rpc.Method(
    "Journal",
    "TakeOver",
    journal_messages.JournalTakeOver,
    journal_messages.JournalTakeOverReply,
)
