"""gRPC credentials from certificate files, read again when the files change."""

from __future__ import annotations

import logging
import ssl
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.security.mode import TlsMode
from hibiscuspoint.telemetry import catalogue, log_event

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from hibiscuspoint.settings import TlsSettings

__all__ = ["TlsContents", "TlsFiles", "Transport"]

logger = logging.getLogger(__name__)

#: Size of the messages that gRPC takes, as a multiple of the limit in the settings.
TRANSPORT_ALLOWANCE = 2

#: Pause in seconds before a port uses changed files. gRPC 1.85 frees the previous configuration
#: while a handshake that began just before may still read it, and the process then crashes. No
#: other handshake begins during the pause, because gRPC asks for changes under a lock.
_SETTLE_SECONDS = 0.05


@dataclass(frozen=True)
class TlsContents:
    """PEM texts; ``None`` where no file is named."""

    certificate: bytes | None
    key: bytes | None
    ca: bytes | None


class TlsFiles:
    """Certificate files of one process.

    gRPC asks for the server's certificate from its own threads, so access is locked.

    :param certificate: PEM file of the certificate chain.
    :param key: PEM file of the private key.
    :param ca: PEM file of the authorities that sign peers; the system's when ``None``.
    :raises ConfigurationError: a file cannot be read or the key does not fit the certificate.
    """

    def __init__(self, certificate: Path | None, key: Path | None, ca: Path | None) -> None:
        self._certificate = certificate
        self._key = key
        self._ca = ca
        self._names = [str(path) for path in (certificate, key, ca) if path is not None]
        self._lock = threading.Lock()
        self._seen: tuple[tuple[int, ...], ...] = ()
        self._generation = 0
        try:
            self._seen = self._stamp()
            self._contents = self._load()
        except (OSError, ValueError) as error:
            raise ConfigurationError(f"The TLS files cannot be used: {error}.") from error

    @property
    def generation(self) -> int:
        """Return a number that increases each time changed files come into use."""
        self.current()
        return self._generation

    def current(self) -> TlsContents:
        """Return the contents; changed files that are not valid leave the previous ones in use."""
        with self._lock:
            try:
                self._refresh()
            except (OSError, ValueError) as error:
                log_event(
                    logger, catalogue.CERTIFICATE_REFUSED, files=self._names, reason=str(error)
                )
            return self._contents

    def channel_credentials(self, *, is_mutual: bool = True) -> grpc.ChannelCredentials:
        """Return the credentials of a client from the files as they are now.

        :param is_mutual: present the certificate, if there is one.
        """
        contents = self.current()
        return grpc.ssl_channel_credentials(
            root_certificates=contents.ca,
            private_key=contents.key if is_mutual else None,
            certificate_chain=contents.certificate if is_mutual else None,
        )

    def server_credentials(self, *, is_mutual: bool) -> grpc.ServerCredentials:
        """Return the credentials of a port, which follow changes of the files.

        :param is_mutual: require a certificate of the client.
        """
        source = _ServerConfiguration(self, is_mutual)
        return grpc.dynamic_ssl_server_credentials(
            source.current(), source.changed, require_client_authentication=is_mutual
        )

    def _refresh(self) -> None:
        stamp = self._stamp()
        if stamp == self._seen:
            return
        contents = self._load()
        # Files that change while they are read may belong to different certificates.
        if self._stamp() != stamp:
            return
        self._seen = stamp
        self._contents = contents
        self._generation += 1
        log_event(logger, catalogue.CERTIFICATE_RELOADED, files=self._names)

    def _stamp(self) -> tuple[tuple[int, ...], ...]:
        stats = [path.stat() for path in (self._certificate, self._key, self._ca) if path]
        return tuple((stat.st_mtime_ns, stat.st_size, stat.st_ino) for stat in stats)

    def _load(self) -> TlsContents:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        if self._certificate is not None:
            # An empty password makes an encrypted key an error instead of a prompt.
            context.load_cert_chain(self._certificate, self._key, password="")
        if self._ca is not None:
            context.load_verify_locations(cafile=self._ca)
        return TlsContents(_read(self._certificate), _read(self._key), _read(self._ca))


def _read(path: Path | None) -> bytes | None:
    return path.read_bytes() if path is not None else None


class Transport:
    """Opens server ports and channels with one kind of protection.

    :param mode: protection of every connection.
    :param files: certificate files; ``None`` only with plain text.
    :param message_bytes: largest message in bytes, in both directions. gRPC takes messages up to
        ``TRANSPORT_ALLOWANCE`` times as large, so that a larger one gets a reply that says so, and
        a message of the largest size can be forwarded with what an entry adds to it.
    """

    def __init__(self, mode: TlsMode, files: TlsFiles | None, message_bytes: int) -> None:
        if (files is None) != (mode is TlsMode.PLAIN_TEXT):
            raise ValueError("certificate files are needed except with plain text")
        self._mode = mode
        self._files = files
        self._options = [
            ("grpc.max_receive_message_length", TRANSPORT_ALLOWANCE * message_bytes),
            ("grpc.max_send_message_length", TRANSPORT_ALLOWANCE * message_bytes),
        ]

    @property
    def server_options(self) -> list[tuple[str, int]]:
        """Return the options that ``grpc.aio.server`` takes."""
        return list(self._options)

    @property
    def generation(self) -> int:
        """Return a number that increases when the certificate files change.

        A channel keeps the files with which it was opened, also when it connects again. The owner
        of a channel opens a new one when this number has changed.
        """
        return self._files.generation if self._files is not None else 0

    @classmethod
    def from_settings(cls, tls: TlsSettings, message_bytes: int) -> Transport:
        """Build from the settings of an instance.

        :raises ConfigurationError: a file is not valid.
        """
        if tls.mode is TlsMode.PLAIN_TEXT:
            return cls(tls.mode, None, message_bytes)
        return cls(tls.mode, TlsFiles(tls.certificate, tls.key, tls.ca), message_bytes)

    def bind(self, server: grpc.aio.Server, address: str, *, for_callers: bool = False) -> None:
        """Add a port to a server that has not started.

        :param for_callers: ask for no client certificate, also with mutual TLS.
        :raises RuntimeError: the address is in use.
        """
        if self._files is None:
            log_event(logger, catalogue.PLAIN_TEXT_IN_USE, address=address)
            server.add_insecure_port(address)
            return
        is_mutual = self._mode is TlsMode.MUTUAL and not for_callers
        server.add_secure_port(address, self._files.server_credentials(is_mutual=is_mutual))

    def channel(self, address: str, options: Sequence[tuple[str, int]] = ()) -> grpc.aio.Channel:
        """Open a channel with the certificate files as they are now.

        :param options: gRPC channel options in addition to the message size.
        """
        # Addresses are those of the system itself; a proxy of the environment must not see them.
        merged = [*self._options, ("grpc.enable_http_proxy", 0), *options]
        if self._files is None:
            return grpc.aio.insecure_channel(address, options=merged)
        credentials = self._files.channel_credentials(is_mutual=self._mode is TlsMode.MUTUAL)
        return grpc.aio.secure_channel(address, credentials, options=merged)


class _ServerConfiguration:
    """Certificate configuration of a port; gRPC asks for changes at each handshake."""

    def __init__(self, files: TlsFiles, is_mutual: bool) -> None:
        self._files = files
        self._is_mutual = is_mutual
        self._generation = files.generation

    def current(self) -> grpc.ServerCertificateConfiguration:
        """Return the configuration from the files as they are now."""
        contents = self._files.current()
        return grpc.ssl_server_certificate_configuration(
            [(contents.key, contents.certificate)],
            root_certificates=contents.ca if self._is_mutual else None,
        )

    def changed(self) -> grpc.ServerCertificateConfiguration | None:
        """Return the configuration when the files changed since the last call, else ``None``."""
        generation = self._files.generation
        if generation == self._generation:
            return None
        self._generation = generation
        time.sleep(_SETTLE_SECONDS)
        return self.current()
