"""Network partitions between two groups of a site's processes."""

import asyncio

from processes import FROZEN, THAWED

READ_BYTES = 65_536
HOST = "127.0.0.1"


class PeerForwarder:
    """Forwards the connections to a process, through a separate proxy for each peer.

    The peer is identified by its name in the first frame that it sends, so that its
    proxy stays the same even if it learns the address from another process.
    """

    def __init__(self, proxies):
        self.proxies = proxies
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._forward, HOST, 0)
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def _forward(self, reader, writer):
        try:
            first = await reader.read(READ_BYTES)
            name = next(name for name in self.proxies if name.encode() in first)
            address = self.proxies[name].address
            target_reader, target_writer = await asyncio.open_connection(
                address.host, address.port
            )
            target_writer.write(first)
            copies = _copy(reader, target_writer), _copy(target_reader, writer)
            await asyncio.gather(*copies, return_exceptions=True)
        except (OSError, StopIteration, asyncio.CancelledError):
            writer.close()


async def _copy(reader, writer):
    try:
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
    finally:
        writer.close()


class Regions:
    """The processes of a site by data centre, and a partition between two of them."""

    def __init__(self, site, minority):
        self.site = site
        self.minority = minority
        self.peer_ways = {}

    def replicas(self, inside):
        return [each for each in self.site.replicas if self._is_in(each) is inside]

    def nodes(self, inside):
        return [each for each in self.site.nodes if self._is_in(each) is inside]

    async def add_ways(self):
        """Put a proxy between each two processes."""
        await self.site.add_control_links()
        await self._add_replica_ways()
        for place in self.site.nodes:
            address = await self._add_forwarder(
                place, place.peer, self.site.nodes, self.peer_ways
            )
            key = "advertised_peer_address"
            self.site.change_settings(place.name, "node", key, address)

    def set_cut(self, is_cut):
        """Drop all traffic between the regions silently, or restore it."""
        faults = FROZEN if is_cut else THAWED
        within = {each.name for each in (*self.replicas(True), *self.nodes(True))}
        ways = {**self.site.replica_links, **self.peer_ways, **self._control_ways()}
        for (source, target), way in ways.items():
            if (source in within) != (target in within):
                way.set_faults(faults)

    async def _add_replica_ways(self):
        replicas = self.site.replicas
        named = []
        for place in replicas:
            ways = self.site.replica_links
            address = await self._add_forwarder(place, place.replica, replicas, ways)
            named.append(f"{place.name}={address}")
        for place in replicas:
            key = "replicas"
            self.site.change_settings(place.name, "control", key, ", ".join(named))

    async def _add_forwarder(self, place, target, peers, ways):
        proxies = {}
        for peer in peers:
            if peer is not place:
                proxies[peer.name] = await self.site.proxy(target)
                ways[peer.name, place.name] = proxies[peer.name]
        return await PeerForwarder(proxies).start()

    def _control_ways(self):
        ways = {}
        for node in self.site.nodes:
            proxies = self.site.control_links[node.name]
            for replica, way in zip(self.site.replicas, proxies, strict=True):
                ways[node.name, replica.name] = way
        return ways

    def _is_in(self, place):
        return place.data_centre == self.minority
