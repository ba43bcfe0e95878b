"""Process settings: INI files, validated and converted to typed structs."""

import configparser
import os
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, get_type_hints

import msgspec

from cicadawheel.configuration import MeasuringBudget, ReleaseHabits
from cicadawheel.errors import SettingsError
from cicadawheel.ids import DataCentreName, ReplicaId, ServiceName

DEFAULTS_PATH = Path(__file__).with_name("config_default.ini")
KEY_MIN_CHARACTERS = 16

Positive = Annotated[int, msgspec.Meta(ge=1)]
NonNegative = Annotated[int, msgspec.Meta(ge=0)]
PositiveMs = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
Port = Annotated[int, msgspec.Meta(ge=0, lt=65_536)]


class Address(msgspec.Struct, frozen=True):
    """An IP address or host name with a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


class ReplicaAddress(msgspec.Struct, frozen=True):
    """The id of a control replica and its stream address."""

    replica: ReplicaId
    address: Address


class ProcessSettings(msgspec.Struct, frozen=True):
    """Section ``[process]``."""

    name: Annotated[str, msgspec.Meta(min_length=1)]
    data_centre: DataCentreName
    log_level: Annotated[str, msgspec.Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")]
    key: Annotated[str, msgspec.Meta(min_length=KEY_MIN_CHARACTERS)]
    random_seed: NonNegative
    metrics_address: Address | None


class NodeSettings(msgspec.Struct, frozen=True):
    """Section ``[node]``."""

    caller_address: Address
    peer_address: Address
    advertised_peer_address: Address | None
    admin_address: Address
    control_addresses: tuple[Address, ...]
    control_port: Port
    ready_address: Address | None
    service: ServiceName
    upstream_address: Address | None
    drain_timeout_ms: PositiveMs
    drain_notice_ms: NonNegative
    link_mbps: Annotated[float, msgspec.Meta(ge=0)]

    def control_streams(self) -> tuple[Address, ...]:
        """Return the addresses at which control replicas accept node streams."""
        if not self.control_port:
            return self.control_addresses
        return tuple(
            Address(address.host, self.control_port)
            for address in self.control_addresses
        )


class GateSettings(msgspec.Struct, frozen=True):
    """Section ``[gate]``."""

    queue_limit: NonNegative = 32
    queue_share: Share = 0.5
    queue_burst_ms: PositiveMs = 500.0
    overload_wait_ms: PositiveMs = 100.0
    overload_share: Share = 0.1
    warm_up_ms: PositiveMs = 3_000.0
    cold_share: Share = 0.2
    connect_timeout_ms: PositiveMs = 250.0
    body_buffer_bytes: Positive = 262_144
    limit: Annotated[str, msgspec.Meta(pattern="^(fixed|aimd|gradient|told)$")] = "aimd"
    jump_factor: Annotated[float, msgspec.Meta(gt=1)] = 4.0
    report_interval_ms: PositiveMs = 500.0
    cold_factor: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class EntrySettings(msgspec.Struct, frozen=True):
    """Section ``[entry]``."""

    policy: Annotated[
        str,
        msgspec.Meta(
            pattern="^(two-choices|round-robin|random|least-reported|weighted-choices|"
            "soonest-answer)$"
        ),
    ] = "weighted-choices"
    choices: Positive = 3
    report_half_life_ms: PositiveMs = 50.0
    depth_limit: Positive = 8
    default_deadline_ms: PositiveMs = 10_000.0
    connect_timeout_ms: PositiveMs = 250.0
    retry_budget: Annotated[str, msgspec.Meta(pattern="^(own|shared)$")] = "own"
    retry_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    retry_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    retry_window_ms: PositiveMs = 10_000.0
    head_limit_bytes: Positive = 32_768
    connection_limit: Positive = 4_096
    requests_ahead_limit: Positive = 32
    ahead_limit_bytes: Positive = 1_048_576

    @property
    def has_retry_budget(self) -> bool:
        """Whether repeats are limited by a budget that all nodes share."""
        is_shared = self.retry_budget == "shared"
        return is_shared or bool(self.retry_share or self.retry_slack)


class HoldingSettings(msgspec.Struct, frozen=True):
    """Section ``[holdings]``."""

    held_bytes: Annotated[int, msgspec.Meta(ge=1_048_576)] = 67_108_864
    rate_min_bytes_per_s: NonNegative = 128
    rate_grace_ms: PositiveMs = 10_000.0


class ControlSettings(msgspec.Struct, frozen=True):
    """Section ``[control]``."""

    stream_address: Address
    replica_address: Address
    operator_address: Address
    replicas: tuple[ReplicaAddress, ...]
    seeds: tuple[Address, ...]
    may_form: bool
    replica: ReplicaId
    replica_losses: NonNegative
    data_centres: tuple[DataCentreName, ...]
    data_folder: str
    election_timeout_ms: PositiveMs
    heartbeat_ms: PositiveMs
    lease_ms: PositiveMs
    probes_per_s: PositiveMs
    probe_bytes_per_s: PositiveMs
    release_share: Annotated[float, msgspec.Meta(gt=0, le=0.5)]
    release_stage_ms: PositiveMs
    release_first_share: Annotated[float, msgspec.Meta(ge=0, le=0.5)]
    release_calls: Positive
    release_settle_ms: NonNegative
    claim_window_s: Positive
    snapshot_entries: Positive

    def measuring(self) -> MeasuringBudget:
        """Return the default measuring budget, used if the answers file sets none."""
        return MeasuringBudget(self.probes_per_s, self.probe_bytes_per_s)

    def habits(self) -> ReleaseHabits:
        """Return the default release parameters, used if the answers file sets none."""
        return ReleaseHabits(
            proof_share_limit=self.release_share,
            stage_min_ms=self.release_stage_ms,
            first_share=self.release_first_share,
            calls_min=self.release_calls,
        )

    @property
    def voter_target(self) -> int:
        """The target number of voters, 0 for all replicas."""
        return 2 * self.replica_losses + 1 if self.replica_losses else 0


class Settings(msgspec.Struct, frozen=True):
    """The settings of one process."""

    process: ProcessSettings
    node: NodeSettings
    gate: GateSettings
    entry: EntrySettings
    control: ControlSettings
    holdings: HoldingSettings = HoldingSettings()

    @property
    def replica(self) -> ReplicaId:
        """The id of this control replica, which defaults to the process name."""
        return self.control.replica or ReplicaId(self.process.name)


class SettingsFile:
    """A settings file that can be reloaded when it changes.

    Parameters
    ----------
    path : Path
        Path of the file.
    read : callable
        Reads the settings from the path.
    """

    def __init__(self, path: Path, read: Callable[[Path], Settings]):
        self.path = path
        self._read = read
        self._loaded_signature = self._file_signature()

    def load(self) -> Settings:
        """Return the current settings of the file.

        Raises
        ------
        SettingsError
            The file can't be read or is invalid.
        """
        self._loaded_signature = self._file_signature()
        return self._read(self.path)

    def has_changed(self) -> bool:
        """Return whether the file has changed since it was last loaded."""
        return self._file_signature() != self._loaded_signature

    def _file_signature(self) -> tuple[int, int]:
        try:
            status = os.stat(self.path)
        except OSError:
            # The file may be missing for a moment while it is replaced.
            return (
                self._loaded_signature if hasattr(self, "_loaded_signature") else (0, 0)
            )
        return status.st_mtime_ns, status.st_size


def load_settings(path: Path) -> Settings:
    """Load a settings file, with defaults for missing keys.

    Raises
    ------
    SettingsError
        The file can't be read, or has an unknown key or an invalid value. The message
        gives the file, the section, the key, the value and a remedy.
    """
    return load_settings_text(path, _parse(path))


def load_settings_text(path: Path, parser: configparser.ConfigParser) -> Settings:
    """Convert parsed settings, with defaults for missing keys.

    Raises
    ------
    SettingsError
        There is an unknown key or an invalid value. The message gives the file, the
        section, the key, the value and a remedy.
    """
    defaults = _parse(DEFAULTS_PATH)
    for section in parser.sections():
        _check_section(path, section, parser, defaults)
        for key, value in parser.items(section):
            defaults.set(section, key, value)
    sections = get_type_hints(Settings, include_extras=True)
    loaded = {
        name: _load_section(path, name, defaults, struct_type)
        for name, struct_type in sections.items()
    }
    settings = Settings(**loaded)
    _check_addresses(path, settings)
    return settings


def _parse(path: Path) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: can't be read: {error}", step="settings"
        ) from error
    except configparser.Error as error:
        text = " ".join(str(error).split())
        raise SettingsError(text, step="settings") from error
    return parser


def _check_section(path, section, parser, defaults) -> None:
    if not defaults.has_section(section):
        known = ", ".join(defaults.sections())
        raise SettingsError(
            f"{path}: section [{section}] is unknown; the sections are {known}",
            step="settings",
        )
    for key in parser.options(section):
        if not defaults.has_option(section, key):
            known = ", ".join(defaults.options(section))
            raise SettingsError(
                f"{path}: [{section}] {key}: unknown key; the keys are {known}",
                step="settings",
            )


def _load_section(path, section, parser, struct_type) -> Any:
    values = {}
    for key, value_type in get_type_hints(struct_type, include_extras=True).items():
        text = parser.get(section, key).strip()
        try:
            values[key] = parse_value(text, value_type)
        except (ValueError, msgspec.ValidationError) as error:
            raise SettingsError(
                f"{path}: [{section}] {key} = {text}: {error}", step="settings"
            ) from error
    return struct_type(**values)


def parse_value(text: str, value_type: Any) -> Any:
    """Convert the text of a setting to its type.

    Raises
    ------
    ValueError
        The text is not a valid value of the type.
    """
    if value_type is Address:
        return parse_address(text)
    if value_type == Address | None:
        return parse_address(text) if text else None
    if value_type == tuple[Address, ...]:
        return tuple(parse_address(item) for item in _split_list(text))
    if value_type == tuple[DataCentreName, ...]:
        return tuple(DataCentreName(item) for item in _split_list(text))
    if value_type == tuple[ReplicaAddress, ...]:
        return tuple(_parse_replica(item) for item in _split_list(text))
    return msgspec.convert(text, value_type, strict=False)


def parse_address(text: str) -> Address:
    """Parse ``host:port``.

    Raises
    ------
    ValueError
        The text is not a valid address.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError("give host:port with a port from 1 to 65535")
    return Address(host, int(port))


def _split_list(text: str) -> list[str]:
    return [item.strip() for item in text.split(",") if item.strip()]


def _parse_replica(text: str) -> ReplicaAddress:
    replica, mark, address = text.partition("=")
    if not mark or not replica.strip():
        raise ValueError("give id=host:port for each replica")
    return ReplicaAddress(ReplicaId(replica.strip()), parse_address(address.strip()))


def _check_addresses(path: Path, settings: Settings) -> None:
    for section, struct in (("node", settings.node), ("control", settings.control)):
        key_by_address: dict[Address, str] = {}
        for key in struct.__struct_fields__:
            value = getattr(struct, key)
            if not isinstance(value, Address):
                continue
            if value in key_by_address:
                raise SettingsError(
                    f"{path}: [{section}] {key} = {value}: clashes with "
                    f"{key_by_address[value]}; give each its own port",
                    step="settings",
                )
            key_by_address[value] = key
