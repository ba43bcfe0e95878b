"""The addresses, settings files and processes of a deployment."""

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
    """A control replica: its addresses and its process."""

    name: str
    data_centre: str
    stream: Address
    operator: Address
    replica: Address
    process: Process


class NodePlace(msgspec.Struct):
    """A node and its upstream: their addresses and processes."""

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
        """Replace the behaviour of the upstream."""
        body = msgspec.json.encode(behaviour)
        await fetch(self.upstream_control, "POST", "/control", body)

    async def fall_back(self) -> None:
        """Put the upstream back into cold start without an announcement."""
        await fetch(self.upstream_control, "POST", "/fall-back")

    async def counters(self) -> Counters:
        """Return the counters of the upstream."""
        answer = await fetch(self.upstream_control, "GET", "/counters")
        return msgspec.json.decode(answer.body, type=Counters)

    async def dump(self) -> HttpAnswer:
        """Return the dump of the node."""
        return await fetch(self.admin, "GET", "/dump")


class Placement:
    """Assigns addresses and writes the files of each process of a topology.

    Parameters
    ----------
    topology : Topology
        The topology to place.
    folder : Path
        The folder that the files are written to.
    """

    def __init__(self, topology: Topology, folder: Path):
        self._topology = topology
        self._folder = folder
        self._streams = ""
        self._host: Process | None = None

    def place_replicas(self) -> list[ReplicaPlace]:
        """Write the settings files of the control replicas and return the replicas."""
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
        """Write the files of nodes and upstreams and return them."""
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
    """Write the options file of a stand-in upstream, and return its path."""
    path = folder / f"{options.upstream}.json"
    path.write_bytes(msgspec.json.encode(options))
    return path


def _free_address() -> Address:
    return Address(HOST, free_port())
