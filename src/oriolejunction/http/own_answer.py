"""Finds the answer to a request behind copies of earlier answers.

A server may write an answer once more where the next one on its connection is
due. The id that it names tells a copy from the answer that still comes, since
a connection carries no request twice.
"""

from oriolejunction import gateway_messages
from oriolejunction.http import admitted_request
from oriolejunction.http import answer_body
from oriolejunction.http import backend_connection
from oriolejunction.http import gateway_common

# A server that repeats more than this is faulty.
MAX_COPIES = 4
MAX_COPY_BYTES = answer_body.SMALL_BYTES


class OwnAnswer:
    """Reads the head of the answer to a request that was sent.

    A cancelled read loses nothing: the next one continues.
    """

    def __init__(
        self,
        connection: backend_connection.BackendConnection,
        deps: gateway_common.GatewayDependencies,
        admitted: admitted_request.AdmittedRequest,
    ) -> None:
        self._connection = connection
        self._wire_format = deps.wire_format
        self._admitted = admitted
        self._copies = 0
        self._copy_bytes = 0
        self._is_in_copy = False

    async def read_head(self) -> gateway_messages.AnswerHead:
        """Return the first head that is no copy; raise `ConnectionBroken`.

        It may still be no answer to the request.
        """
        while True:
            if self._is_in_copy:
                await self._read_past_copy()
            head = self._wire_format.read_head(
                await self._connection.read_response_head(),
                self._admitted.request,
            )
            if not self._is_copy(head):
                return head
            self._begin_copy(head)

    def _is_copy(self, head: gateway_messages.AnswerHead) -> bool:
        """Return whether an answer to an earlier request is repeated."""
        return (
            head.names is not None
            and not head.echoes_request_id
            and head.names in self._connection.carried
        )

    def _begin_copy(self, head: gateway_messages.AnswerHead) -> None:
        self._copies += 1
        gateway_common.log_decision(
            self._admitted,
            "copy of an earlier answer dropped",
            names=head.names,
            status=head.status,
            connection=self._connection.number,
            address=self._connection.address,
            copies=self._copies,
        )
        if self._copies > MAX_COPIES:
            raise backend_connection.ConnectionBroken(
                "too many copies of earlier answers"
            )
        self._connection.expect_another_answer(head.names)
        self._is_in_copy = True

    async def _read_past_copy(self) -> None:
        while (piece := await self._connection.read_chunk()) is not None:
            self._copy_bytes += len(piece)
            if self._copy_bytes > MAX_COPY_BYTES:
                raise backend_connection.ConnectionBroken(
                    "the copy of an earlier answer is too large"
                )
        self._is_in_copy = False
