"""The methods that control replicas serve to entry instances and others."""

from oriolejunction import fleet_messages as fm
from oriolejunction.peers import rpc

SHARE = rpc.Method("Fleet", "Share", fm.Share, fm.Told)
RELAY = rpc.Method("Fleet", "Relay", fm.Relay, fm.Told)
WATCH = rpc.Method("Fleet", "Watch", fm.Watch, fm.Sight)
PUBLISH = rpc.Method("Fleet", "Publish", fm.PublishRequest, fm.PublishReply)
READ = rpc.Method("Fleet", "Read", fm.ReadRequest, fm.ReadReply)
