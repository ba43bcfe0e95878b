"""A simulation of the release of one service, without sockets or real time."""
