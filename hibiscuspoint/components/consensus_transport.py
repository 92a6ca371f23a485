"""Exchange of consensus messages with all peers."""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from typing import TYPE_CHECKING

from hibiscuspoint.components.access import EXCHANGE_METHOD, LOGGED_CHARACTERS
from hibiscuspoint.components.consensus_link import PeerLink
from hibiscuspoint.components.consensus_servicer import ExchangeServicer
from hibiscuspoint.core.consensus.messages import REQUESTS
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.wire.consensus import decode_message, encode_message

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    import grpc

    from hibiscuspoint.core.consensus.messages import Message
    from hibiscuspoint.core.consensus.node import Node
    from hibiscuspoint.ids import InstanceId
    from hibiscuspoint.wire.consensus_pb2 import Envelope

__all__ = ["Transport"]

logger = logging.getLogger(__name__)

#: A stream without traffic for this many seconds is tested with a probe, so that one that went
#: silent is replaced before an election needs it.
_IDLE_PROBE = 1.0


class Transport:
    """Sends requests on an own stream to each peer, and replies on the stream of the request.

    :param instance: this instance.
    :param peers: addresses ("ip:port") of all control instances, with this one.
    :param channel_factory: creates a channel like ``grpc.aio.insecure_channel``.
    :param receive: called with each message.
    :param generation: returns a number whose change asks for new channels.
    :param dynamic_membership: the id of an instance is its address, and any instance may be a peer.
    """

    def __init__(
        self,
        instance: InstanceId,
        peers: Mapping[InstanceId, str],
        channel_factory: Callable[..., grpc.aio.Channel],
        receive: Callable[[Message], None],
        generation: Callable[[], int],
        *,
        dynamic_membership: bool = False,
    ) -> None:
        self._dynamic_membership = dynamic_membership
        self._receive = receive
        self._channel_factory = channel_factory
        self._generation = generation
        self._addresses = {peer: address for peer, address in peers.items() if peer != instance}
        self._links: dict[InstanceId, PeerLink] = {}
        self._tasks: dict[InstanceId, asyncio.Task[None]] = {}
        self._servicer = ExchangeServicer(self._decode)

    @property
    def servicer(self) -> ExchangeServicer:
        """Return the servicer to register with the gRPC server."""
        return self._servicer

    def start(self) -> None:
        """Connect to all peers."""
        for peer, address in self._addresses.items():
            self._connect(peer, address)

    def update_peers(self, instances: Collection[InstanceId]) -> None:
        """End the streams to instances that are not peers any more, and connect to new ones."""
        for peer in set(self._links) - set(instances):
            del self._links[peer]
            self._tasks.pop(peer).cancel()
        for peer in set(instances) - set(self._links):
            self._addresses[peer] = peer
            self._connect(peer, peer)

    async def stop(self) -> None:
        """End all streams."""
        self._servicer.close()
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks.clear()
        self._links.clear()

    def send(self, message: Message) -> None:
        """Send a message without waiting; it may be lost."""
        envelope = encode_message(message)
        if not isinstance(message.body, REQUESTS) and self._servicer.reply(envelope):
            return
        link = self._links.get(message.target)
        if link is None and self._dynamic_membership:
            self._addresses[message.target] = message.target
            link = self._connect(message.target, message.target)
        if link is not None:
            link.send(envelope)

    def probe_idle_peers(self, node: Node) -> None:
        """Test the streams without traffic."""
        for peer, link in self._links.items():
            if link.is_idle(_IDLE_PROBE):
                link.send(encode_message(node.probe(peer)))

    def _connect(self, peer: InstanceId, address: str) -> PeerLink:
        receive = partial(self._decode_reply, peer)
        link = PeerLink(address, self._channel_factory, receive, self._generation)
        self._links[peer] = link
        self._tasks[peer] = asyncio.create_task(link.run())
        return link

    def _decode_reply(self, peer: InstanceId, envelope: Envelope) -> None:
        """Take a reply from the instance to which the stream leads, and from no other one.

        TLS proves the address of a server; the settings tell which instance serves there.
        """
        claimed = envelope.source.instance
        if claimed == peer:
            self._decode(envelope)
            return
        log_event(
            logger,
            catalogue.IDENTITY_REFUSED,
            peer=self._addresses[peer],
            names=[peer],
            claimed=claimed[:LOGGED_CHARACTERS],
            method=EXCHANGE_METHOD,
        )

    def _decode(self, envelope: Envelope) -> None:
        try:
            message = decode_message(envelope)
        except ValueError as error:
            logger.warning("message discarded: %s", error)
            return
        self._receive(message)
