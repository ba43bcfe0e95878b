"""Resolution of a replica's name and initial peers from a list of seed addresses.

Not used by deployments whose settings list the replicas by name.
"""

import secrets

import msgspec

from cicadawheel.control.storage import DiskFiles
from cicadawheel.control.storage.identity import Identity
from cicadawheel.control.storage.store import IDENTITY_NAME
from cicadawheel.control.storage.value import read_value
from cicadawheel.ids import ReplicaId
from cicadawheel.settings import Address, ReplicaAddress, Settings

NAME_SUFFIX_BYTES = 4
"""Random bytes in a joining replica's name; names on one host must differ."""


def name_replica(settings: Settings) -> Settings:
    """Return the settings with the replica's name and the initial replicas.

    When a deployment is first started, seeds are named after their hosts and form the
    initial membership. Any other replica with an empty data folder gets a random name,
    so that a VM that lost its disk cannot rejoin as the replica that it was.

    Raises
    ------
    StorageError
        The data folder can't be read or, if it has no identity, cleared.
    """
    control = settings.control
    if not control.seeds:
        return settings
    own_address = control.replica_address
    initial = tuple(
        ReplicaAddress(ReplicaId(seed.host), Address(seed.host, own_address.port))
        for seed in control.seeds
    )
    identity = _read_identity(control.data_folder)
    if identity is None:
        clear_folder(settings)
    forms_membership = control.may_form and own_address.host in {
        seed.host for seed in control.seeds
    }
    if identity is not None:
        replica = identity.replica
    elif forms_membership:
        replica = ReplicaId(own_address.host)
    else:
        replica = ReplicaId(
            f"{own_address.host}-{secrets.token_hex(NAME_SUFFIX_BYTES)}"
        )
    named = msgspec.structs.replace(control, replica=replica, replicas=initial)
    return msgspec.structs.replace(settings, control=named)


def clear_folder(settings: Settings) -> None:
    """Delete the data of a replica that is no longer a member.

    Raises
    ------
    StorageError
        The data folder can't be written.
    """
    files = DiskFiles(settings.control.data_folder)
    try:
        # The identity goes first: a folder without one counts as empty, so an
        # interrupted deletion is completed at the next start.
        if IDENTITY_NAME in files.names():
            files.remove(IDENTITY_NAME)
            files.sync_folder()
        for name in files.names():
            files.remove(name)
        files.sync_folder()
    finally:
        files.close()


def _read_identity(folder: str) -> Identity | None:
    files = DiskFiles(folder)
    try:
        if IDENTITY_NAME not in files.names():
            return None
        return read_value(files, IDENTITY_NAME, Identity)
    finally:
        files.close()
