"""Tests of the attachment of an entry to the control leader."""

from __future__ import annotations

import asyncio

from circuits import Component

from hibiscuspoint.components import attachment
from hibiscuspoint.components.attachment import Attachment
from hibiscuspoint.wire import peer_pb2

#: Seconds within which the next instance must be tried.
PATIENCE_SECONDS = 10.0


class _Runtime(Component):
    """Takes updates."""

    def dispatch(self, event: object) -> None:
        """Drop an event."""


class _Channel:
    def __init__(self, address: str) -> None:
        self.address = address

    async def close(self) -> None:
        """Never end, as a channel whose call cannot be cancelled."""
        await asyncio.Event().wait()


class _Channels:
    generation = 0

    def __init__(self) -> None:
        self.has_opened_second = asyncio.Event()

    def open(self, address: str) -> _Channel:
        """Open a channel."""
        if address == "127.0.0.1:2":
            self.has_opened_second.set()
        return _Channel(address)


class _StuckCall:
    """A call that gives one update, and then neither ends nor can be cancelled."""

    def __init__(self) -> None:
        self._has_answered = False

    async def read(self) -> peer_pb2.ControlUpdate:
        """Return an update, once."""
        if not self._has_answered:
            self._has_answered = True
            return peer_pb2.ControlUpdate(control_term=1, leader="127.0.0.1:1")
        while True:
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                if _StuckCall.may_end:
                    raise

    async def write(self, report: peer_pb2.EntryReport) -> None:
        """Take a report."""

    def cancel(self) -> None:
        """Do nothing."""

    may_end = False


class _Stub:
    def __init__(self, channel: _Channel) -> None:
        self._channel = channel

    def Attach(self) -> _StuckCall:
        """Open a stream."""
        return _StuckCall()


def test_stream_that_cannot_be_cancelled_is_given_up(monkeypatch):
    """Guards against an instance that is detached for good after it was suspended.

    Found by seed 20 of the soak: a paused instance woke up with a broken connection, and its
    stream to the control leader never ended.
    """

    async def scenario():
        monkeypatch.setattr(attachment.peer_pb2_grpc, "ControlStub", _Stub)
        channels = _Channels()
        entry = Attachment(
            _Runtime(), channels, ["127.0.0.1:1", "127.0.0.1:2"], peer_pb2.EntryReport
        )
        entry.start()
        async with asyncio.timeout(PATIENCE_SECONDS):
            await channels.has_opened_second.wait()
        _StuckCall.may_end = True
        await entry.stop()

    asyncio.run(scenario())


class _SlowCall(_StuckCall):
    """A call whose first update takes longer than the first attempts wait."""

    async def read(self) -> peer_pb2.ControlUpdate:
        """Return an update after a while."""
        await asyncio.sleep(SLOW_SECONDS)
        return peer_pb2.ControlUpdate(control_term=1, leader="127.0.0.1:1")


class _SlowStub:
    def __init__(self, channel: _Channel) -> None:
        self._channel = channel

    def Attach(self) -> _SlowCall:
        """Open a stream."""
        return _SlowCall()


#: Seconds until the first update of a slow leader.
SLOW_SECONDS = 0.7


def test_slow_leader_is_reached_in_the_end(monkeypatch):
    """Guards against an instance that gives up every attempt on a busy machine.

    Found in the tests of mutual TLS beside a load of 18: a handshake took longer than the 0.4 s
    that each attempt had, and an instance stayed without control.
    """

    async def scenario():
        monkeypatch.setattr(attachment.peer_pb2_grpc, "ControlStub", _SlowStub)
        attached = asyncio.Event()
        entry = Attachment(
            _Runtime(),
            _Channels(),
            ["127.0.0.1:1"],
            peer_pb2.EntryReport,
            on_update=lambda update: attached.set(),
            first_update_seconds=0.2,
        )
        entry.start()
        async with asyncio.timeout(PATIENCE_SECONDS):
            await attached.wait()
        await entry.stop()

    asyncio.run(scenario())


class _RefusingStub:
    """A seed that knows the control group, and an instance of it that leads."""

    def __init__(self, channel: _Channel) -> None:
        self._address = channel.address

    def Attach(self) -> _RefusingCall | _SlowCall:
        """Open a stream."""
        return _SlowCall() if self._address == "127.0.0.1:1" else _RefusingCall()


class _RefusingCall(_StuckCall):
    async def read(self) -> peer_pb2.ControlUpdate:
        """Return where control is."""
        return peer_pb2.ControlUpdate(control_members=["127.0.0.1:1"])


def _refused_entry(channels: _Channels, attached: asyncio.Event, seeds: list[str]) -> Attachment:
    entry = Attachment(
        _Runtime(),
        channels,
        seeds,
        peer_pb2.EntryReport,
        on_update=lambda update: attached.set(),
        on_refused=lambda update: entry.set_members([*update.control_members, *seeds]),
        first_update_seconds=2 * SLOW_SECONDS,
    )
    return entry


def test_control_group_named_by_a_seed_is_asked_next(monkeypatch):
    """Guards against an instance that asks all seeds in turn although one named the control group.

    Found on trouble-1 of a deployment of 11 machines: the elected leader itself needed 0.9 s to
    attach, as the seeds in its settings had been exchanged for instances without a disk.
    """

    async def scenario():
        monkeypatch.setattr(attachment.peer_pb2_grpc, "ControlStub", _RefusingStub)
        channels = _Channels()
        attached = asyncio.Event()
        entry = _refused_entry(channels, attached, ["127.0.0.1:5", "127.0.0.1:2", "127.0.0.1:6"])
        entry.start()
        async with asyncio.timeout(PATIENCE_SECONDS):
            await attached.wait()
        assert not channels.has_opened_second.is_set()
        await entry.stop()

    asyncio.run(scenario())


class _SilentStub(_RefusingStub):
    """Machines without power, and one instance that leads."""

    def Attach(self) -> _SilentCall | _SlowCall:
        """Open a stream."""
        return _SlowCall() if self._address == "127.0.0.1:1" else _SilentCall()


class _SilentCall(_StuckCall):
    async def read(self) -> peer_pb2.ControlUpdate:
        """Wait for a machine that does not answer."""
        await asyncio.Event().wait()


def test_known_leader_ends_an_attempt_at_a_silent_instance(monkeypatch):
    """Guards against an instance that waits for a silent seed while it knows the leader.

    A control instance that was elected itself waited 0.4 s for a seed without power.
    """

    async def scenario():
        monkeypatch.setattr(attachment.peer_pb2_grpc, "ControlStub", _SilentStub)
        attached = asyncio.Event()
        entry = _refused_entry(_Channels(), attached, ["127.0.0.1:5"])
        entry._patience = 1000 * PATIENCE_SECONDS
        entry.start()
        await asyncio.sleep(0.05)
        entry.suggest_leader("127.0.0.1:1")
        async with asyncio.timeout(PATIENCE_SECONDS):
            await attached.wait()
        await entry.stop()

    asyncio.run(scenario())


class _EchoingCall(_StuckCall):
    """A call that answers each report."""

    def __init__(self) -> None:
        super().__init__()
        self._reports: asyncio.Queue[peer_pb2.EntryReport] = asyncio.Queue()

    async def write(self, report: peer_pb2.EntryReport) -> None:
        """Take a report."""
        self._reports.put_nowait(report)

    async def read(self) -> peer_pb2.ControlUpdate:
        """Return an update that answers the next report."""
        report = await self._reports.get()
        return peer_pb2.ControlUpdate(
            control_term=1, leader="127.0.0.1:1", echo_sent_at_ns=report.sent_at_ns
        )

    def cancel(self) -> None:
        """End the stream."""


def test_report_of_a_stop_is_answered_before_the_process_ends(monkeypatch):
    """Guards against a lease that control does not get back from a process that stops."""

    async def scenario():
        monkeypatch.setattr(attachment, "REPORT_INTERVAL_SECONDS", PATIENCE_SECONDS)
        monkeypatch.setattr(
            attachment.peer_pb2_grpc,
            "ControlStub",
            lambda channel: type("Stub", (), {"Attach": lambda self: _EchoingCall()})(),
        )
        made: list[int] = []

        def make_report() -> peer_pb2.EntryReport:
            made.append(int(asyncio.get_running_loop().time() * 1e9))
            return peer_pb2.EntryReport(sent_at_ns=made[-1])

        entry = Attachment(_Runtime(), _Channels(), ["127.0.0.1:1"], make_report)
        entry.start()
        await asyncio.sleep(0.05)
        released_at = int(asyncio.get_running_loop().time() * 1e9)
        await entry.report(PATIENCE_SECONDS)
        await entry.stop()
        assert made[-1] >= released_at

    asyncio.run(scenario())


def test_entry_pauses_before_it_attaches_with_a_later_incarnation(monkeypatch):
    """Guards against two processes of one address that replace each other in a tight loop."""
    opened = []

    class _SupersededCall(_StuckCall):
        async def read(self) -> peer_pb2.ControlUpdate:
            return peer_pb2.ControlUpdate(redirect="127.0.0.1:1", later_incarnation=7)

    def attach(stub: object) -> _SupersededCall:
        opened.append(stub)
        return _SupersededCall()

    async def scenario():
        stub = type("Stub", (), {"Attach": attach})
        monkeypatch.setattr(attachment.peer_pb2_grpc, "ControlStub", lambda channel: stub())
        known = []
        entry = Attachment(
            _Runtime(),
            _Channels(),
            ["127.0.0.1:1"],
            peer_pb2.EntryReport,
            on_later_start=known.append,
        )
        entry.start()
        await asyncio.sleep(5 * attachment.RETRY_SECONDS)
        await entry.stop()
        assert set(known) == {7}
        assert len(opened) <= 6

    asyncio.run(scenario())
