"""The bench's command line."""

import asyncio
from pathlib import Path

import msgspec
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from bench.demo import run_demo
from bench.echo import serve_echo
from bench.experiment import EXIT_NOT_RUN, run_experiment
from bench.experiments import experiment_names, find_experiment
from bench.plot import plot_results
from bench.soak.run import SoakPlan, run_soaks
from bench.standin import UpstreamOptions
from bench.upstream import serve_upstreams
from cicadawheel.errors import UserError
from cicadawheel.settings import parse_address


class UpstreamCommand(Command):
    """Runs stand-in upstreams."""

    name = "upstream"
    description = "Runs stand-in upstreams until SIGTERM."
    arguments = [argument("options", "JSON files, one each.", multiple=True)]
    options = [
        option(
            "record",
            None,
            "The file of executions, or a folder of one for each.",
            flag=False,
            default=".",
        )
    ]

    def handle(self) -> int:
        """Run until SIGTERM."""
        decoder = msgspec.json.Decoder(UpstreamOptions)
        files = [Path(name) for name in self.argument("options")]
        options = [decoder.decode(file.read_bytes()) for file in files]
        asyncio.run(serve_upstreams(options, Path(self.option("record"))))
        return 0


class DemoCommand(Command):
    """Runs the demonstration."""

    name = "demo"
    description = "Serves Kushiro's calls while a data centre goes out and in."

    def handle(self) -> int:
        """Run the demonstration and return the exit code."""
        return asyncio.run(run_demo())


class EchoCommand(Command):
    """Runs a TCP echo server, or a relay to a target."""

    name = "echo"
    description = "Echoes bytes, or relays them to --target, until SIGTERM."
    arguments = [argument("port", "The loopback port that it listens on.")]
    options = [option("target", None, "The host:port to relay to.", flag=False)]

    def handle(self) -> int:
        """Run until SIGTERM."""
        target = self.option("target")
        address = parse_address(target) if target else None
        asyncio.run(serve_echo(int(self.argument("port")), address))
        return 0


class ListCommand(Command):
    """Lists the experiments."""

    name = "list"
    description = "Lists the experiments."

    def handle(self) -> int:
        """Print one line for each experiment."""
        for name in experiment_names():
            self.line(f"{name}: {find_experiment(name).description}")
        return 0


class RunCommand(Command):
    """Runs an experiment."""

    name = "run"
    description = "Runs an experiment; exits 0 if met, 1 if missed, 2 if not run."
    arguments = [argument("experiment", "Its name.")]
    options = [
        option("seed", None, "Seeds load and stand-ins.", flag=False, default="1"),
        option("out", None, "The JSON file for the result.", flag=False),
    ]

    def handle(self) -> int:
        """Run the experiment and return the exit code."""
        out = self.option("out")
        try:
            experiment = find_experiment(self.argument("experiment"))
        except UserError as error:
            self.line_error(str(error))
            return EXIT_NOT_RUN
        seed = int(self.option("seed"))
        return run_experiment(experiment, seed, Path(out) if out else None)


class SoakCommand(Command):
    """Runs soak tests."""

    name = "soak"
    description = "Disturbs real processes at random; exits 1 if a promise was broken."
    options = [
        option("seed", None, "The first seed.", flag=False, default="1"),
        option("seeds", None, "How many seeds.", flag=False, default="1"),
        option("nodes", None, "How many nodes.", flag=False, default="8"),
        option("seconds", None, "How long each.", flag=False, default="20"),
        option("silent", None, "Connections go silent for good.", flag=True),
        option("keep", None, "Where logs of broken ones go.", flag=False, default=None),
    ]

    def handle(self) -> int:
        """Run the soak tests one after another and return the exit code."""
        first = int(self.option("seed"))
        keep = self.option("keep")
        plans = [
            SoakPlan(
                seed,
                int(self.option("nodes")),
                float(self.option("seconds")),
                long_faults=seed % 2 == 1,
                silent_faults=self.option("silent"),
            )
            for seed in range(first, first + int(self.option("seeds")))
        ]
        return run_soaks(plans, Path(keep) if keep else None)


class PlotCommand(Command):
    """Plots results."""

    name = "plot"
    description = "Draws the results of experiments."
    arguments = [argument("files", "JSON results.", multiple=True)]
    options = [
        option("out", None, "The picture.", flag=False, default="bench.png"),
    ]

    def handle(self) -> int:
        """Plot the results into one image."""
        files = [Path(name) for name in self.argument("files")]
        plot_results(files, Path(self.option("out")))
        return 0


COMMANDS = (
    UpstreamCommand,
    DemoCommand,
    EchoCommand,
    ListCommand,
    RunCommand,
    SoakCommand,
    PlotCommand,
)


def main() -> int:
    """Run the command line and return the exit code."""
    application = Application("bench")
    for command in COMMANDS:
        application.add(command())
    return application.run()
