"""Promotion requests that are still on their way when another instance leads control."""

from __future__ import annotations

import asyncio
import signal

import pytest

from hibiscuspoint.components.http_client import HttpClientError, post
from tests.platform.deployment import Deployment
from tests.system.fault_proxy import Direction, FaultProxy

#: Seconds for which the first leader is stopped; another one is elected and promotes meanwhile.
STOP_SECONDS = 5.0

#: Longest time in seconds to wait until a request without an answer is given up.
GIVE_UP_SECONDS = 10.0

#: Seconds after which the proxy has seen what a process sent before it was stopped.
SETTLE_SECONDS = 0.2


async def _stop_between_requests(running: Deployment, leader: int, path: FaultProxy) -> None:
    """Stop an instance once it has given a request up and before it sends the next one.

    The proxy has acknowledged the bytes that it holds back, so that the kernel of a stopped process
    would not give them up as it does behind a real cut. A request that is never given up is not
    waited for.
    """
    deadline = asyncio.get_running_loop().time() + GIVE_UP_SECONDS
    while asyncio.get_running_loop().time() < deadline:
        if not path.connections:
            running.send_signal(leader, signal.SIGSTOP)
            await asyncio.sleep(SETTLE_SECONDS)
            if not path.connections:
                return
            running.send_signal(leader, signal.SIGCONT)
        await asyncio.sleep(0.01)
    running.send_signal(leader, signal.SIGSTOP)


@pytest.mark.xdist_group("platform")
def test_promotion_of_a_former_leader_does_not_arrive_late(tmp_path):
    """Guards against a lower fencing token that reaches the platform after a higher one.

    The path of the leader to the platform is cut while its request is on the way.
    """

    async def scenario():
        running = Deployment(tmp_path, "77.30")
        proxies = [FaultProxy(running.platform_address) for _ in range(3)]
        for number, proxy in enumerate(proxies):
            proxy.start()
            running.platform_addresses[number] = proxy.address
        try:
            await running.start()
            leader = running.leader
            proxies[leader].cut(Direction.TO_SERVER)
            await running.platform.primary.crash()
            while not proxies[leader].connections:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            await _stop_between_requests(running, leader, proxies[leader])
            await asyncio.sleep(STOP_SECONDS)
            proxies[leader].heal()
            running.send_signal(leader, signal.SIGCONT)
            await running.serve(leader)
            return [token for _, token in running.platform.promotions]
        finally:
            await running.stop()
            for proxy in proxies:
                proxy.stop()

    tokens = asyncio.run(scenario())
    assert tokens
    assert tokens == sorted(tokens)


async def _serve_silently(received: list[bytes]) -> asyncio.Server:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.append(await reader.read())

    return await asyncio.start_server(serve, "127.0.0.1", 0)


def test_request_is_not_sent_once_its_sender_may_not():
    """Guards against a request whose connection took longer than the lease of the leader."""

    async def scenario():
        received: list[bytes] = []
        server = await _serve_silently(received)
        host, port = server.sockets[0].getsockname()
        with pytest.raises(HttpClientError):
            await post(f"{host}:{port}", "/promote", b"{}", [], 1.0, may_send=lambda: False)
        await asyncio.sleep(0.05)
        server.close()
        return received

    assert not any(asyncio.run(scenario()))


def test_kernel_gives_up_a_request_that_is_not_delivered(monkeypatch):
    """Guards against a request of a process that is stopped before it can reset its connection."""
    limits: list[float] = []
    monkeypatch.setattr(
        "hibiscuspoint.components.http_client.set_unacknowledged_limit",
        lambda writer, seconds: limits.append(seconds),
    )

    async def scenario():
        server = await _serve_silently([])
        host, port = server.sockets[0].getsockname()
        with pytest.raises(TimeoutError):
            await post(f"{host}:{port}", "/promote", b"{}", [], 0.1, delivery_seconds=0.25)
        server.close()

    asyncio.run(scenario())
    assert limits == [0.25]
