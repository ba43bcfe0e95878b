"""Fault proxies on the links between the processes of a deployment."""

import configparser

import msgspec

from bench.faultproxy import FaultProxy, start_proxy
from bench.launcher import Deployment
from bench.places import NodePlace, write_options
from cicadawheel.settings import Address

Replicas = tuple[str, str]
"""The names of the connecting replica and the listening replica."""


class FaultLinks:
    """Puts fault proxies on the links of a deployment before it starts.

    Parameters
    ----------
    deployment : Deployment
        The deployment; its settings files are rewritten to use the proxies.
    """

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self.proxies: list[FaultProxy] = []
        self.control_links: dict[str, list[FaultProxy]] = {}
        self.replica_links: dict[Replicas, FaultProxy] = {}
        self.upstream_proxies: dict[str, FaultProxy] = {}
        self.peer_proxies: dict[str, FaultProxy] = {}

    async def proxy(self, target: Address) -> FaultProxy:
        """Start a proxy in front of an address and return it."""
        proxy = await start_proxy(target)
        self.proxies.append(proxy)
        return proxy

    def change_settings(self, name: str, section: str, key: str, value: object) -> None:
        """Change one key in the settings file of a process."""
        path = self.deployment.folder / f"{name}.ini"
        parser = configparser.ConfigParser(interpolation=None)
        parser.read(path)
        if not parser.has_section(section):
            parser.add_section(section)
        parser.set(section, key, str(value))
        with path.open("w") as file:
            parser.write(file)

    async def add_control_links(self) -> None:
        """Put a proxy between each node and each replica."""
        replicas = self.deployment.replicas
        for place in self.deployment.nodes:
            links = [await self.proxy(replica.stream) for replica in replicas]
            self.control_links[place.name] = links
            addresses = ", ".join(str(link.address) for link in links)
            self.change_settings(place.name, "node", "control_addresses", addresses)

    async def add_replica_links(self) -> None:
        """Put a proxy on each link from one replica to another."""
        for one in self.deployment.replicas:
            named = []
            for other in self.deployment.replicas:
                address = other.replica
                if one is not other:
                    link = await self.proxy(other.replica)
                    self.replica_links[one.name, other.name] = link
                    address = link.address
                named.append(f"{other.name}={address}")
            self.change_settings(one.name, "control", "replicas", ", ".join(named))

    async def add_upstream_proxies(self) -> None:
        """Put a proxy between each node and its upstream."""
        for place in self.deployment.nodes:
            proxy = await self.proxy(place.upstream_address)
            self.upstream_proxies[place.name] = proxy
            _announce_at(place, proxy.address.port, self.deployment)

    async def add_peer_proxies(self) -> None:
        """Put a proxy in front of each node's peer port."""
        for place in self.deployment.nodes:
            proxy = await self.proxy(place.peer)
            self.peer_proxies[place.name] = proxy
            key = "advertised_peer_address"
            self.change_settings(place.name, "node", key, proxy.address)

    async def close_proxies(self) -> None:
        """Close all proxies and reset their connections."""
        for proxy in self.proxies:
            await proxy.close()


def _announce_at(place: NodePlace, port: int, deployment: Deployment) -> None:
    """Make an upstream announce another port than its own."""
    place.options = msgspec.structs.replace(place.options, announced_port=port)
    write_options(place.options, deployment.folder)
