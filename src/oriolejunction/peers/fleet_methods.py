"""gRPC methods of the Fleet and StreamOrigins services of control replicas."""

from oriolejunction import document_messages as dm
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import rpc
from oriolejunction import rollout_messages as rm

REPORT = rpc.Method("Fleet", "Share", fm.ReportRequest, fm.Acknowledgement)
RELAY = rpc.Method("Fleet", "Relay", fm.RelayRequest, fm.Acknowledgement)
WATCH = rpc.Method("Fleet", "Watch", fm.WatchRequest, fm.WatchReply)
# A stream.
SESSION = rpc.Method("Fleet", "Session", fm.SessionMessage, fm.WatchReply)
TABLE = rpc.Method("Fleet", "Table", dm.PieceRequest, dm.DocumentPiece)
PUBLISH = rpc.Method("Fleet", "Publish", fm.PublishRequest, fm.PublishReply)
ORIGINS = rpc.Method(
    "StreamOrigins", "Record", fm.OriginsRequest, fm.Acknowledgement
)
ORIGIN_CONFIRM = rpc.Method(
    "StreamOrigins", "Confirm", fm.OriginProposal, fm.OriginConfirmation
)
ORIGIN_LOOKUP = rpc.Method(
    "StreamOrigins", "Lookup", fm.OriginLookup, fm.OriginReply
)
READ = rpc.Method("Fleet", "Read", fm.ReadRequest, fm.ReadReply)
ROLLOUT_BEGIN = rpc.Method("Rollouts", "Begin", rm.BeginRequest, rm.BeginReply)
ROLLOUT_READ = rpc.Method("Rollouts", "Read", rm.ReadRequest, rm.ReadReply)
