"""The demonstration's callers: completions, streams and plain calls, each checked."""

import itertools
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

import anyio
import httpx
import msgspec

from balsamcleat.adapters.engine_dialect import CompletionFrame
from balsamcleat.api.problems import Problem
from balsamcleat.demo.report import DemoReport, Latency, Promise
from balsamcleat.model import Certainty
from balsamcleat.standins.cluster import LocalCluster
from balsamcleat.standins.service import EchoReply
from balsamcleat.standins.text import generation_text

__all__ = ["Callers"]

CALLERS_OF_A_KIND = 3
TIMEOUT_S = 30.0
MAX_TOKENS = 48
EVENT_PREFIX = "data: "
END_OF_STREAM = "[DONE]"


@dataclass
class Callers:
    """Call through whichever nodes the platform's balancer would choose.

    Attributes:
        cluster: The system.
        report: Where checks are counted.
        client: The HTTP client.
        pause_s: What a caller waits between calls, in seconds.
        killed: URLs of nodes that were killed: what they had accepted dies with them.
        plain: Bodies of all plain calls sent, each unique.
        not_run_bodies: Bodies of plain calls that were refused as not run.
        not_run_prompts: Prompts that were refused as not run.
    """

    cluster: LocalCluster
    report: DemoReport
    client: httpx.AsyncClient
    pause_s: float
    killed: set[str] = field(default_factory=set)
    plain: set[str] = field(default_factory=set)
    not_run_bodies: set[str] = field(default_factory=set)
    not_run_prompts: set[str] = field(default_factory=set)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    async def run(self) -> None:
        """Call until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(CALLERS_OF_A_KIND):
                for call in (self.complete, self.stream, self.push):
                    group.start_soon(self.repeat, call)

    async def repeat(self, call: Callable[[str], Awaitable[None]]) -> None:
        """Make calls of one kind, one after the other."""
        while True:
            url = self.cluster.node_url(next(self.numbers))
            try:
                await call(url)
            except httpx.ConnectError:
                # Nothing was sent: the balancer goes on to the next node.
                self.report.outcomes["node did not accept, sent to another"] += 1
            except httpx.HTTPError as error:
                self.cut(url, error)
            await anyio.sleep(self.pause_s)

    def cut(self, url: str, error: httpx.HTTPError) -> None:
        """Judge a call that got no answer: only a killed node may leave one so."""
        if url in self.killed:
            self.report.outcomes["lost with the killed node"] += 1
            return
        promise = Promise.WHOLE_ANSWER if self.runs(url) else Promise.GRACEFUL
        self.report.check(promise, False, f"no answer from {url}: {type(error).__name__}")

    def runs(self, url: str) -> bool:
        """Return whether the node is running and not on its way out."""
        return any(
            url.endswith(running.node.settings.http_address) and not running.node.drain.is_set()
            for running in self.cluster.nodes.values()
        )

    async def complete(self, url: str) -> None:
        """Ask for a completion as one answer."""
        number = next(self.numbers)
        prompt = f"live completion {number}"
        started_s = anyio.current_time()
        response = await self.client.post(
            f"{url}/v1/completions", content=self.completion(prompt, number), timeout=TIMEOUT_S
        )
        if response.status_code != 200:
            self.refused(response, self.not_run_prompts, prompt)
            return
        self.report.took(Latency.COMPLETION, anyio.current_time() - started_s)
        frame = msgspec.json.decode(response.content, type=CompletionFrame)
        expected = generation_text(prompt, number, MAX_TOKENS)
        self.answered(frame.choices[0].text == expected, prompt)

    async def stream(self, url: str) -> None:
        """Ask for a stream."""
        number = next(self.numbers)
        prompt = f"live stream {number}"
        started_s = anyio.current_time()
        body = self.completion(prompt, number, stream=True)
        async with self.client.stream(
            "POST", f"{url}/v1/completions", content=body, timeout=TIMEOUT_S
        ) as response:
            if response.status_code != 200:
                await response.aread()
                self.refused(response, self.not_run_prompts, prompt)
                return
            text, ended, failed = "", False, False
            async for line in response.aiter_lines():
                failed = failed or line == "event: error"
                data = line.removeprefix(EVENT_PREFIX)
                if not line.startswith(EVENT_PREFIX) or failed:
                    continue
                if data == END_OF_STREAM:
                    ended = True
                    continue
                if not text:
                    self.report.took(Latency.FIRST_TOKEN, anyio.current_time() - started_s)
                text += msgspec.json.decode(data, type=CompletionFrame).choices[0].text
        if failed:
            self.report.outcomes["stream ended with a problem"] += 1
            return
        self.answered(ended and text == generation_text(prompt, number, MAX_TOKENS), prompt)

    async def push(self, url: str) -> None:
        """Make a plain call that must not run twice."""
        body = f"push {next(self.numbers)}"
        self.plain.add(body)
        started_s = anyio.current_time()
        response = await self.client.post(
            f"{url}/v1/services/{self.cluster.shape.plain_service}/push",
            content=body,
            headers={"content-type": "text/plain"},
            timeout=TIMEOUT_S,
        )
        if response.status_code != 200:
            self.refused(response, self.not_run_bodies, body)
            return
        self.report.took(Latency.PLAIN, anyio.current_time() - started_s)
        self.answered(msgspec.json.decode(response.content, type=EchoReply).body == body, body)

    def completion(self, prompt: str, seed: int, *, stream: bool = False) -> bytes:
        """Return the body of a completion request."""
        return msgspec.json.encode(
            {
                "model": self.cluster.shape.engine_service,
                "prompt": prompt,
                "seed": seed,
                "max_tokens": MAX_TOKENS,
                "stream": stream,
            }
        )

    def answered(self, whole: bool, what: str) -> None:
        """Count a whole answer."""
        self.report.outcomes["answered"] += 1
        self.report.check(Promise.WHOLE_ANSWER, whole, what)

    def refused(self, response: httpx.Response, not_run: set[str], what: str) -> None:
        """Take note of what a refusal said."""
        problem = msgspec.json.decode(response.content, type=Problem)
        outcome = problem.outcome or f"status {problem.status}"
        self.report.outcomes[outcome] += 1
        if problem.outcome == Certainty.NOT_RUN.value:
            not_run.add(what)

    def settle(self) -> None:
        """Check against the stand-ins' own counts, once nothing runs any more."""
        runs = {
            body: sum(service.runs[body] for service in self.cluster.services.values())
            for body in self.plain
        }
        for body, count in runs.items():
            self.report.check(Promise.AT_MOST_ONCE, count <= 1, f"{body} ran {count} times")
        for body in self.not_run_bodies:
            self.report.check(Promise.NOT_RUN, runs[body] == 0, body)
        for prompt in self.not_run_prompts:
            ran = prompt in self.cluster.ledger.prompts
            self.report.check(Promise.NOT_RUN, not ran, prompt)
