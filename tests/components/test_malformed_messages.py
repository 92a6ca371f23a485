"""Peers whose messages cannot be decoded, such as another program at a known address."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import grpc
import pytest
from circuits import Component

from hibiscuspoint.components.attachment import Attachment
from hibiscuspoint.components.consensus_link import PeerLink
from hibiscuspoint.components.introductions import Introductions
from hibiscuspoint.components.leader_client import LeaderClient
from hibiscuspoint.components.peers import PeerChannels
from hibiscuspoint.drivers.admin import AdminClient
from hibiscuspoint.drivers.errors import AdminError
from hibiscuspoint.drivers.watch import StandinWatch
from hibiscuspoint.errors import NotLeaderError
from hibiscuspoint.ids import InstanceId
from hibiscuspoint.security import TlsMode, Transport
from hibiscuspoint.wire import peer_pb2
from hibiscuspoint.wire.consensus_pb2 import Envelope
from tests.components.foreign import foreign_server

#: Seconds within which a peer is tried again.
PATIENCE_SECONDS = 5.0


class _Runtime(Component):
    """Takes updates."""

    def dispatch(self, event: object) -> None:
        """Drop an event."""


@asynccontextmanager
async def _attachment(address: str, channels: PeerChannels):
    entry = Attachment(_Runtime(), channels, [address], peer_pb2.EntryReport)
    entry.start()
    yield "Attach"
    await entry.stop()


@asynccontextmanager
async def _introductions(address: str, channels: PeerChannels):
    leader = LeaderClient(None, [], channels)
    instance = InstanceId("127.0.0.9:1")
    introductions = Introductions(
        instance, leader, channels, lambda: (address,), lambda: True, lambda leader: None
    )
    introductions.start()
    yield "Introduce"
    await introductions.stop()


@asynccontextmanager
async def _consensus(address: str, channels: PeerChannels):
    link = PeerLink(address, grpc.aio.insecure_channel, lambda message: message.source, lambda: 0)

    async def send() -> None:
        while True:
            link.send(Envelope())
            await asyncio.sleep(0.05)

    tasks = [asyncio.create_task(work) for work in (link.run(), send())]
    yield "Exchange"
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@asynccontextmanager
async def _watch(address: str, channels: PeerChannels):
    watch = StandinWatch(address, lambda progress: None)
    yield "Watch"
    watch.close()


@pytest.mark.parametrize("start", [_attachment, _introductions, _consensus, _watch])
def test_peer_is_tried_again_after_a_message_that_cannot_be_decoded(start):
    """Guards against an instance that one malformed message detaches for good."""

    async def scenario():
        channels = PeerChannels(Transport(TlsMode.PLAIN_TEXT, None, 1_000_000))
        async with foreign_server() as (service, address), start(address, channels) as method:
            async with asyncio.timeout(PATIENCE_SECONDS):
                while service.calls[method] < 3:  # noqa: ASYNC110 - a test double has no event
                    await asyncio.sleep(0.01)
        await channels.close()

    asyncio.run(scenario())


def test_answer_that_cannot_be_decoded_counts_as_missing():
    """Guards against an order that fails with an unexpected error, and one taken as not run."""

    async def scenario():
        channels = PeerChannels(Transport(TlsMode.PLAIN_TEXT, None, 1_000_000))
        async with foreign_server() as (_, address):
            leader = LeaderClient(None, [address], channels)
            assert not (await leader.announce(peer_pb2.Announcement())).accepted
            with pytest.raises(NotLeaderError) as raised:
                await leader.call("Submit", peer_pb2.SubmitRequest(), 1.0)
            assert raised.value.verdict.name == "MAY_HAVE_RUN"
            client = AdminClient()
            with pytest.raises(AdminError):
                await client.seal(address, 1, timeout=1.0)
            await client.close()
        await channels.close()

    asyncio.run(scenario())
