"""Identifiers, each with its own type."""

import typing

AttemptNumber = typing.NewType("AttemptNumber", int)
BackendId = typing.NewType("BackendId", str)
DraftId = typing.NewType("DraftId", str)
EngineId = typing.NewType("EngineId", str)
Fingerprint = typing.NewType("Fingerprint", str)
GenerationId = typing.NewType("GenerationId", str)
IdempotencyKey = typing.NewType("IdempotencyKey", str)
Incarnation = typing.NewType("Incarnation", str)
InstanceId = typing.NewType("InstanceId", str)
LogIndex = typing.NewType("LogIndex", int)
ModelName = typing.NewType("ModelName", str)
ModelVersion = typing.NewType("ModelVersion", str)
OperationId = typing.NewType("OperationId", str)
OwnerNumber = typing.NewType("OwnerNumber", int)
PromptPart = typing.NewType("PromptPart", str)
RequestId = typing.NewType("RequestId", str)
Revision = typing.NewType("Revision", int)
ServiceName = typing.NewType("ServiceName", str)
SoftwareVersion = typing.NewType("SoftwareVersion", str)
Term = typing.NewType("Term", int)
TokenId = typing.NewType("TokenId", int)
WorkspaceId = typing.NewType("WorkspaceId", str)
ZoneId = typing.NewType("ZoneId", str)

NO_REVISION = Revision(0)
