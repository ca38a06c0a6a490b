"""Root of the command line: the commands."""

import os

from fire.decorators import SetParseFn, SetParseFns

from wasabipaddle import __version__
from wasabipaddle.commands.action import Action, UsageError, non_negative_integer
from wasabipaddle.commands.cluster import ClusterCommands
from wasabipaddle.commands.exit_codes import EXIT_BROKEN
from wasabipaddle.commands.run import RunCommands
from wasabipaddle.commands.service import ServiceCommands

__all__ = ["Cli"]

BOOT_VARIABLE = "WASABIPADDLE_BOOT"


class Cli:
    """Run and operate wasabipaddle."""

    # Every command returns an `Action`, which runs once the command line is parsed.
    # `fire` shows the docstring of a command, with its parameters, as its --help.

    def __init__(self):
        self.service = ServiceCommands()
        self.run = RunCommands()
        self.cluster = ClusterCommands()

    def version(self):
        """Print the version."""
        return Action(run=lambda: print(__version__))

    def serve(self, settings, process=None):
        """Run an entry process until SIGINT or SIGTERM, then drain it.

        Parameters
        ----------
        settings : str
            Settings file, which also names the roles of the process.
        process : str
            Name of the process; the one in the settings file by default.
        """
        from wasabipaddle.commands.serve import serve

        return Action(run=lambda: serve(settings, process=process))

    def cell(self, settings=""):
        """Run one process of a cell on the users' platform.

        Parameters
        ----------
        settings : str
            Settings file; default is the path in WASABIPADDLE_BOOT.
        """
        from wasabipaddle.commands.cell import cell

        path = settings or os.environ.get(BOOT_VARIABLE, "")
        if not path:
            raise UsageError(f"no settings file: name it or set {BOOT_VARIABLE}")
        return Action(run=lambda: cell(path))

    @SetParseFn(str)
    def explain(self, job, *files):
        """Print the history of a job or of a wave of maintenance from structured logs.

        Parameters
        ----------
        job : str
            Identifier of the job, or wave-N for the wave with the number N.
        files : str
            Log files of the processes.
        """
        from wasabipaddle.commands.explain import explain

        if not files:
            raise UsageError("no log files: name those of the processes")
        return Action(run=lambda: explain(job, files))

    @SetParseFn(str, "file", "process", "queue", "workspace")
    def where(self, file, process="", queue="", workspace="", json=False):
        """Tell where a job would go now, and why, without sending it.

        Parameters
        ----------
        file : str
            Request that would submit the job, or with --queue its body only.
        process : str
            Host and port of the internal listener of any process of the cell; default
            WASABIPADDLE_PROCESS.
        queue : str
            Name of the queue.
        workspace : str
            Name of the workspace that would submit the job.
        json : bool
            Print JSON.
        """
        from wasabipaddle.commands.where import where_action

        return where_action(
            file, process=process, queue=queue, workspace=workspace, json=json
        )

    @SetParseFns(examples=str, keep=str)
    def demo(self, examples="examples", seed=1, keep=None, port_offset=0):
        """Run both example deployments under faults and report lost or doubled work.

        Parameters
        ----------
        examples : str
            Directory with the example deployments.
        keep : str
            Directory that keeps the settings and logs of the processes.
        port_offset : int
            Number added to every port, to run several demos on one machine.
        """
        from wasabipaddle.demo import run_demo

        offset = non_negative_integer("--port_offset", port_offset)

        def run():
            clean = run_demo(examples, seed=seed, keep=keep, port_offset=offset)
            return None if clean else EXIT_BROKEN

        return Action(run=run)

    @SetParseFns(example=str, keep=str)
    def playground(self, example, port_offset=0, apply=False, keep=None):
        """Start an example deployment on stand-ins and run it until Ctrl-C.

        Parameters
        ----------
        example : str
            Directory of the example.
        port_offset : int
            Number added to every port, to run several deployments on one machine.
        apply : bool
            Apply the service documents of the example.
        keep : str
            Directory that keeps the settings and logs of the processes.
        """
        from wasabipaddle.demo import run_playground

        offset = non_negative_integer("--port_offset", port_offset)

        def run():
            run_playground(example, port_offset=offset, apply=apply, keep=keep)

        return Action(run=run)

    @SetParseFn(str)
    def fault(self, target, *changes, control=""):
        """Inject or clear faults of the stand-ins of a playground.

        Parameters
        ----------
        target : str
            `store`, `vm_list`, `link` or the name of a VM.
        changes : str
            Faults to change, as KEY=VALUE.
        control : str
            Comma-separated control URLs of the stand-ins; default
            WASABIPADDLE_CONTROL.
        """
        from wasabipaddle.commands.fault import fault_action

        return fault_action(target=target, changes=changes, control=control)

    @SetParseFns(run=str, vm=str, service=str, server=str, token_file=str)
    def timeline(
        self,
        run="",
        vm="",
        service="",
        since="",
        limit=1000,
        json=False,
        html="",
        server="",
        token_file="",
        authority="",
    ):
        """Print the events of all processes in order, or write them as a page.

        --run, --vm and --service select the events of one run, VM or service. The
        flags --server, --token_file and --authority are those of `cluster status`.

        Parameters
        ----------
        since : int
            Show no events before this time, in milliseconds since the epoch.
        limit : int
            Largest number of events; the latest are shown.
        json : bool
            Print JSON lines.
        html : str
            HTML page to write, with one lane for each process.
        """
        from wasabipaddle.commands.timeline import timeline_action

        filters = {
            "run": run,
            "vm": vm,
            "service": service,
            "since": since,
            "limit": limit,
        }
        options = {"server": server, "token_file": token_file, "authority": authority}
        return timeline_action(
            filters=filters, connection_options=options, json=json, html=html
        )

    def replay(self, trace, settings, seed=1, json=False):
        """Replay a trace on an in-memory deployment and check its expected outcomes.

        Parameters
        ----------
        trace : str
            Trace file with one JSON object per line.
        settings : str
            Settings file of the deployment.
        """
        from wasabipaddle.commands.replay import replay

        return Action(run=lambda: replay(trace, settings, seed=seed, json=json))

    @SetParseFns(report=str, against=str)
    def measure(self, name, seed=1, quick=False, json=False, report="", against=""):
        """Run one measure or all, and compare with baselines and bounds.

        Parameters
        ----------
        name : str
            Name of the measure, or `all`.
        quick : bool
            Use smaller inputs.
        report : str
            Directory for an HTML page with plots, which need matplotlib.
        against : str
            Checkout whose processes the measure `calls` compares with this code.
        """
        from wasabipaddle.commands.measure import measure

        def run():
            passed = measure(
                name,
                seed=seed,
                quick=quick,
                json_output=json,
                report=report,
                against=against,
            )
            return None if passed else EXIT_BROKEN

        return Action(run=run)

    def fuzz(self, seconds=60, seed=1, decoders=None, keep=None, keys=None):
        """Fuzz an in-memory cell and print the shortest failing run.

        Parameters
        ----------
        seconds : float
            Time after which no new seed is started.
        seed : int
            First seed.
        decoders : int
            Number of inputs for the decoders, which are fuzzed instead.
        keep : str
            Directory for the inputs that a decoder fails on.
        keys : int
            Number of steps of the machine of removed keys, which is run instead.
        """
        from wasabipaddle.commands.fuzz import fuzz

        def run():
            passed = fuzz(
                seconds=seconds, seed=seed, decoders=decoders, keep=keep, keys=keys
            )
            return None if passed else EXIT_BROKEN

        return Action(run=run)

    @SetParseFns(keep=str, faults=str)
    def soak(
        self,
        seed=1,
        seeds=1,
        seconds=20,
        processes=4,
        runners=8,
        at_once=1,
        keep=None,
        faults="",
    ):
        """Run real processes under random faults and print the violations found.

        Parameters
        ----------
        seed : int
            First seed.
        seeds : int
            Number of consecutive seeds to run.
        seconds : float
            Time for which faults are injected, for each seed.
        processes : int
            Number of processes of the cell.
        runners : int
            Number of runners of the cell.
        at_once : int
            Number of seeds that run in parallel.
        keep : str
            Directory that keeps the settings, logs and a report of each seed.
        faults : str
            Names of the faults to inject, separated by commas; all by default.
        """
        from wasabipaddle.commands.soak import soak

        def run():
            passed = soak(
                seed=seed,
                seeds=seeds,
                seconds=seconds,
                processes=processes,
                runners=runners,
                at_once=at_once,
                keep=keep,
                faults=faults,
            )
            return None if passed else EXIT_BROKEN

        return Action(run=run)

    def standin(self, file):
        """Run the stand-ins of the settings file FILE until SIGINT or SIGTERM."""
        from wasabipaddle.commands.standin import standin

        return Action(run=lambda: standin(file))
