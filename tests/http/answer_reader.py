"""A caller that reads a streamed answer and can resume it."""

import dataclasses

import aiohttp
import orjson

from oriolejunction import local_deployment

PROMPT = "Which flavours keep longest? [[length=160]]"
HEADERS = {
    "Authorization": f"Bearer {local_deployment.KEY_BY_WORKSPACE['hakata']}"
}


@dataclasses.dataclass
class Reader:
    """What a caller has received of one answer."""

    texts: list[str] = dataclasses.field(default_factory=list)
    event_ids: list[str] = dataclasses.field(default_factory=list)
    finish_reason: str | None = None
    errors: list[dict] = dataclasses.field(default_factory=list)
    done: bool = False
    broken: bool = False

    @property
    def text(self):
        return "".join(self.texts)

    def read_line(self, line):
        if line.startswith(b"id: "):
            self.event_ids.append(line[4:].strip().decode())
        if line.startswith(b"data: [DONE]"):
            self.done = True
        if not line.startswith(b"data: {"):
            return
        record = orjson.loads(line[6:])
        if "error" in record:
            self.errors.append(record["error"])
        for choice in record.get("choices", ()):
            self.texts.append(choice["text"])
            self.finish_reason = choice["finish_reason"]


def body(prompt=PROMPT, max_tokens=400):
    """Return the body of the request that the callers of the tests send."""
    return {
        "model": local_deployment.MODEL,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": True,
    }


async def read(session, url, reader, until=10_000, headers=None, **request):
    """Read until `until` texts are received; return the HTTP status.

    A reader that has received texts before resumes after its last event.
    Return None where the connection is lost.
    """
    resume = {"Last-Event-ID": reader.event_ids[-1]} if reader.texts else {}
    try:
        async with session.post(
            url + "/v1/completions",
            json=body(**request),
            headers=HEADERS | resume | (headers or {}),
        ) as response:
            if response.status != 200:
                reader.errors.append((await response.json())["error"])
                return response.status
            async for line in response.content:
                reader.read_line(line)
                if len(reader.texts) >= until:
                    break
            return response.status
    except aiohttp.ClientError:
        reader.broken = True
        return None
