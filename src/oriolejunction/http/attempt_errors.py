"""Why a request cannot be sent to a server from here now."""


class InstanceIsolated(Exception):
    """This instance reaches no server; another one may serve the request.

    `possibly_run` servers may have run it already.
    """

    def __init__(self, possibly_run: int) -> None:
        super().__init__("this instance reaches no backend server")
        self.possibly_run = possibly_run


class SendWithheld(Exception):
    """The request must not be sent to the chosen server any more."""


class ServerPaused(SendWithheld):
    """A server asked for a pause before the request was sent to it."""


class VersionWithheld(SendWithheld):
    """A rollout does not allow the server's software version now."""
