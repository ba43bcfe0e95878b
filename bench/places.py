"""Where the processes of a deployment stand, and the files that tell them so."""

import configparser
from pathlib import Path

import msgspec

from bench.behaviour import Behaviour
from bench.ports import free_port
from bench.process import Process
from bench.standin import Counters, UpstreamOptions
from bench.topology import FIRST_VERSION, Override, ServiceSize, Topology
from cicadawheel.http.exchange import HttpAnswer, fetch
from cicadawheel.settings import Address

HOST = "127.0.0.1"
DEPLOYMENT_KEY = "a key for the bench only"


class ReplicaPlace(msgspec.Struct):
    """A control replica and its addresses."""

    name: str
    data_centre: str
    stream: Address
    operator: Address
    replica: Address
    process: Process


class NodePlace(msgspec.Struct):
    """A node, its upstream, and their addresses."""

    name: str
    data_centre: str
    caller: Address
    peer: Address
    admin: Address
    node: Process
    options: UpstreamOptions
    upstream: Process

    @property
    def service(self) -> str:
        """The service of the upstream."""
        return self.options.service

    @property
    def upstream_address(self) -> Address:
        """The data port of the upstream."""
        return Address(HOST, self.options.port)

    @property
    def upstream_control(self) -> Address:
        """The control port of the upstream."""
        return Address(HOST, self.options.control_port)

    async def change(self, behaviour: Behaviour) -> None:
        """Change how the upstream behaves from now on."""
        body = msgspec.json.encode(behaviour)
        await fetch(self.upstream_control, "POST", "/control", body)

    async def fall_back(self) -> None:
        """Let the upstream fall back into cold start without a word."""
        await fetch(self.upstream_control, "POST", "/fall-back")

    async def counters(self) -> Counters:
        """Return what the upstream counted."""
        answer = await fetch(self.upstream_control, "GET", "/counters")
        return msgspec.json.decode(answer.body, type=Counters)

    async def dump(self) -> HttpAnswer:
        """Return the dump of the node."""
        return await fetch(self.admin, "GET", "/dump")


class Placement:
    """Gives each process of a topology its addresses and its files.

    Parameters
    ----------
    topology : Topology
        What is placed.
    folder : Path
        Where the files are written.
    """

    def __init__(self, topology: Topology, folder: Path):
        self._topology = topology
        self._folder = folder
        self._streams = ""
        self._host: Process | None = None

    def place_replicas(self) -> list[ReplicaPlace]:
        """Return the control replicas, with their settings files written."""
        places = []
        for number in range(1, self._topology.replicas + 1):
            name = f"control-{number}"
            place = ReplicaPlace(
                name=name,
                data_centre=self._data_centre(number - 1),
                stream=_free_address(),
                operator=_free_address(),
                replica=_free_address(),
                process=self._process(name, "cicadawheel", "control"),
            )
            places.append(place)
        for place in places:
            self._write_replica_settings(place, places)
        return places

    def place_nodes(self, replicas: list[ReplicaPlace]) -> list[NodePlace]:
        """Return the nodes and upstreams, with their files written."""
        self._streams = ", ".join(str(replica.stream) for replica in replicas)
        places = []
        for size in self._topology.services:
            for number in range(1, size.upstreams + 1):
                places.append(self._place_node(size, number, len(places)))
        return places

    def _place_node(self, size: ServiceSize, number: int, position: int) -> NodePlace:
        upstream = f"{size.service}-{number}"
        if size.version != FIRST_VERSION:
            upstream = f"{size.service}-v{size.version}-{number}"
        name = f"node-{upstream}"
        data_centre = self._data_centre(position)
        admin = _free_address()
        options = UpstreamOptions(
            upstream=upstream,
            service=size.service,
            version=size.version,
            data_centre=data_centre,
            port=free_port(),
            control_port=free_port(),
            slots=size.slots,
            connections=size.connections,
            seed=self._topology.seed * 1_000 + position,
            node_admin=admin,
            behaviour=size.behaviour,
        )
        options_path = write_options(options, self._folder)
        place = NodePlace(
            name=name,
            data_centre=data_centre,
            caller=_free_address(),
            peer=_free_address(),
            admin=admin,
            node=self._process(name, "cicadawheel", "node"),
            options=options,
            upstream=self._upstream_process(upstream, options_path, position),
        )
        self._write_node_settings(place, position)
        return place

    def _upstream_process(
        self, name: str, options_path: Path, position: int
    ) -> Process:
        if position % self._topology.upstreams_per_process == 0:
            arguments = ["bench", "upstream", "--record", str(self._folder)]
            self._host = Process(name, arguments, self._folder)
        self._host.arguments.append(str(options_path))
        return self._host

    def _data_centre(self, position: int) -> str:
        names = self._topology.data_centres
        return names[position % len(names)]

    def _settings_path(self, name: str) -> Path:
        return self._folder / f"{name}.ini"

    def _process(self, name: str, module: str, command: str) -> Process:
        arguments = [module, command, str(self._settings_path(name))]
        return Process(name, arguments, self._folder)

    def _write_replica_settings(
        self, place: ReplicaPlace, places: list[ReplicaPlace]
    ) -> None:
        data_folder = self._folder / f"{place.name}-data"
        data_folder.mkdir(exist_ok=True)
        replicas = ", ".join(f"{each.name}={each.replica}" for each in places)
        self._write_settings(
            place.name,
            place.data_centre,
            Override("control", "stream_address", str(place.stream)),
            Override("control", "operator_address", str(place.operator)),
            Override("control", "replica_address", str(place.replica)),
            Override("control", "replicas", replicas),
            Override("control", "data_folder", str(data_folder)),
        )

    def _write_node_settings(self, place: NodePlace, position: int) -> None:
        seed = self._topology.seed * 1_000 + position + 1
        self._write_settings(
            place.name,
            place.data_centre,
            Override("process", "random_seed", str(seed)),
            Override("node", "caller_address", str(place.caller)),
            Override("node", "peer_address", str(place.peer)),
            Override("node", "admin_address", str(place.admin)),
            Override("node", "control_addresses", self._streams),
        )

    def _write_settings(
        self, name: str, data_centre: str, *overrides: Override
    ) -> None:
        parser = configparser.ConfigParser(interpolation=None)
        parser["process"] = {
            "name": name,
            "data_centre": data_centre,
            "key": DEPLOYMENT_KEY,
        }
        for override in (*overrides, *self._topology.overrides):
            if not parser.has_section(override.section):
                parser.add_section(override.section)
            parser.set(override.section, override.key, override.value)
        with self._settings_path(name).open("w", encoding="utf-8") as file:
            parser.write(file)


def write_options(options: UpstreamOptions, folder: Path) -> Path:
    """Write the file from which a stand-in reads who it is, and return its path."""
    path = folder / f"{options.upstream}.json"
    path.write_bytes(msgspec.json.encode(options))
    return path


def _free_address() -> Address:
    return Address(HOST, free_port())
