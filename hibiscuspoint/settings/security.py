"""Settings of session token keys and TLS."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

from pydantic import PrivateAttr, SecretStr, StringConstraints, model_validator

# pydantic evaluates the annotations at run time, so this import is needed then.
from hibiscuspoint.security.mode import TlsMode
from hibiscuspoint.settings.paths import SettingsPath
from hibiscuspoint.util.schema import StrictModel, option

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["MIN_KEY_BYTES", "SessionSettings", "TlsMode", "TlsSettings", "check_files"]

#: RFC 2104, section 3: a key shorter than the hash output weakens the HMAC.
MIN_KEY_BYTES = 32
MAX_KEYS = 2
CertificateName = Annotated[str, StringConstraints(min_length=1, max_length=253)]


def _decode_keys(texts: list[str]) -> tuple[bytes, ...]:
    if not 1 <= len(texts) <= MAX_KEYS:
        raise ValueError(f"holds {len(texts)} keys; one or two are needed")
    keys = []
    for number, text in enumerate(texts, start=1):
        try:
            key = bytes.fromhex(text)
        except ValueError:
            raise ValueError(f"key {number} is not hexadecimal") from None
        if len(key) < MIN_KEY_BYTES:
            raise ValueError(f"key {number} has {len(key)} bytes; {MIN_KEY_BYTES} are needed")
        keys.append(key)
    if len(set(keys)) != len(keys):
        raise ValueError("both keys are equal")
    return tuple(keys)


def _read_keys(path: Path) -> tuple[bytes, ...]:
    try:
        lines = path.read_text(encoding="ascii").split()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "not an ASCII file"
        raise ValueError(f"keys_file {path} cannot be read: {reason}") from None
    return _decode_keys(lines)


class SessionSettings(StrictModel):
    """Keys that sign session tokens; the first signs, each of them verifies."""

    keys: tuple[SecretStr, ...] | None = option(
        None,
        strict=False,
        doc="Keys of session tokens; the first signs and all verify.",
        allowed="one or two hexadecimal strings of at least 32 bytes; or use keys_file",
    )
    keys_file: SettingsPath | None = option(
        None,
        doc="File with one hexadecimal key a line, instead of keys.",
        allowed="path, relative to the settings file",
    )
    _decoded_keys: tuple[bytes, ...] = PrivateAttr(default=())

    @property
    def key_bytes(self) -> tuple[bytes, ...]:
        """Return the decoded keys; the first one signs."""
        return self._decoded_keys

    @model_validator(mode="after")
    def _load_keys(self) -> SessionSettings:
        if (self.keys is None) == (self.keys_file is None):
            raise ValueError("needs either keys or keys_file")
        if self.keys_file is not None:
            self._decoded_keys = _read_keys(self.keys_file)
        elif self.keys is not None:
            self._decoded_keys = _decode_keys([key.get_secret_value() for key in self.keys])
        return self


def _is_file(path: Path) -> bool:
    try:
        return path.is_file()
    except OSError:
        # Path.is_file raises for a name that is too long.
        return False


def check_files(*paths: Path | None) -> None:
    """Check that each path that is set refers to an existing file.

    :raises ValueError: lists the paths that do not.
    """
    absent = [str(path) for path in paths if path is not None and not _is_file(path)]
    if absent:
        raise ValueError(f"does not exist or is not a file: {', '.join(absent)}")


class TlsSettings(StrictModel):
    """TLS mode, certificate files and the accepted certificate names."""

    mode: TlsMode = option(
        strict=False,
        doc="Protection of every gRPC connection; plain-text is reported by a warning event.",
        allowed="mutual, server, plain-text",
    )
    certificate: SettingsPath | None = option(
        None, doc="PEM file with the certificate chain.", allowed="path; not with plain-text"
    )
    key: SettingsPath | None = option(
        None, doc="PEM file with the private key.", allowed="path; not with plain-text"
    )
    ca: SettingsPath | None = option(
        None,
        doc="PEM file with the authorities that sign the other processes' certificates.",
        allowed="path; required with mutual; not with plain-text",
    )

    instances: tuple[CertificateName, ...] = option(
        (),
        strict=False,
        doc="Names of the instances' certificates. They may call every internal service. A "
        "certificate may act only as the instances that it names: one of its subject alternative "
        "names must be equal to node.instance.",
        allowed="subject alternative names, compared exactly; required with mutual, only there; "
        "with this instance and every control instance",
    )
    operators: tuple[CertificateName, ...] = option(
        (),
        strict=False,
        doc="Names of the operators' certificates. They may call the Operator service.",
        allowed="subject alternative names; only with mutual",
    )
    targets: tuple[CertificateName, ...] = option(
        (),
        strict=False,
        doc="Names of the targets' certificates. They may announce targets.",
        allowed="subject alternative names; only with mutual",
    )

    @model_validator(mode="after")
    def _check_files(self) -> TlsSettings:
        files = {"certificate": self.certificate, "key": self.key, "ca": self.ca}
        required = {
            TlsMode.MUTUAL: {"certificate", "key", "ca"},
            TlsMode.SERVER: {"certificate", "key"},
            TlsMode.PLAIN_TEXT: set(),
        }[self.mode]
        missing = sorted(name for name in required if files[name] is None)
        if missing:
            raise ValueError(f"mode {self.mode.value!r} requires {', '.join(missing)}")
        configured = sorted(name for name, path in files.items() if path is not None)
        if self.mode is TlsMode.PLAIN_TEXT and configured:
            raise ValueError(f"mode 'plain-text' contradicts {', '.join(configured)}")
        check_files(*files.values())
        return self

    @model_validator(mode="after")
    def _check_names(self) -> TlsSettings:
        if self.mode is TlsMode.MUTUAL and not self.instances:
            raise ValueError("mode 'mutual' requires instances")
        lists = {"instances": self.instances, "operators": self.operators, "targets": self.targets}
        configured = [name for name, names in lists.items() if names]
        if self.mode is not TlsMode.MUTUAL and configured:
            raise ValueError(f"mode {self.mode.value!r} contradicts {', '.join(configured)}")
        return self
