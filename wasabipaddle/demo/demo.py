"""Demo of both example deployments under faults, and the playground."""

import asyncio
import pathlib
import random
import signal
import sys
import tempfile
import time

import attrs

from wasabipaddle.demo.callers import Callers
from wasabipaddle.demo.layout import write_layout
from wasabipaddle.demo.processes import ProcessGroup
from wasabipaddle.demo.scenario import Scenario
from wasabipaddle.documents import parse_document
from wasabipaddle.standins.control import StandinControl

__all__ = ["DemoResult", "run_demo", "run_playground"]

LOAD_S = 11.0
REQUEST_PERIOD_S = 0.01
RUN_PERIOD_S = 0.25
CANCEL_PERIOD_S = 1.5
DOCUMENT_TIMEOUT_S = 10.0
NON_DOCUMENT_FILES = ("deployment.yaml", "settings.yaml")


@attrs.frozen(kw_only=True)
class DemoResult:
    """Result of the demo of one deployment.

    Parameters
    ----------
    verdict : Verdict
        Counts from the ledgers of the stand-ins and of the callers.
    false_refusals : int
        Number of refusals with the outcome "not run" whose work was executed.
    problems : tuple of str
        Steps of the scenario and services that failed.
    """

    name: str
    verdict: object
    false_refusals: int
    problems: tuple[str, ...]

    @property
    def clean(self) -> bool:
        """Whether the verdict is clean and nothing else failed."""
        return self.verdict.clean and not self.false_refusals and not self.problems

    def line(self) -> str:
        """Return the counts of the verdict as one line."""
        v = self.verdict
        return (
            f"{self.name}: accepted {v.accepted}, completed {v.completed}, "
            f"cancelled {v.cancelled}, lost {v.lost}, doubled {v.doubled}, "
            f"overfilled {v.overfilled}, cut off {v.cut_off}"
        )


def run_demo(directory, *, seed=1, keep=None, port_offset=0) -> bool:
    """Run the demo of both example deployments and print the results.

    Parameters
    ----------
    directory : path
        Directory with one subdirectory for each example deployment.
    seed : int
        Seed of the load.
    keep : path or None
        Directory that keeps settings and logs of the processes; None discards them.
    port_offset : int
        Number that is added to every port of the examples.

    Returns
    -------
    bool
        Whether the result of each deployment is clean.
    """
    results = []
    for name in ("lapidea", "bitacora"):
        source = pathlib.Path(directory) / name
        with tempfile.TemporaryDirectory(prefix="wasabipaddle-") as temporary:
            target = pathlib.Path(keep or temporary) / name
            target.mkdir(parents=True, exist_ok=True)
            layout = write_layout(source, target, port_offset=port_offset)
            result = asyncio.run(_run_deployment(name, source, target, layout, seed))
        results.append(result)
        print(result.line(), flush=True)
        for problem in result.problems:
            print(f"{name}: {problem}", file=sys.stderr)
        if result.false_refusals:
            count = result.false_refusals
            print(f"{name}: {count} refused as not run but executed", file=sys.stderr)
    return all(r.clean for r in results)


def run_playground(source, *, port_offset=0, apply=False, keep=None):
    """Start one deployment with stand-ins and run it until SIGINT or SIGTERM.

    Parameters
    ----------
    source : path
        Directory of the example.
    port_offset : int
        Number that is added to every port of the example.
    apply : bool
        Apply the documents of the example.
    keep : path or None
        Directory that keeps settings and logs of the processes; None discards them.
    """
    source = pathlib.Path(source)
    with tempfile.TemporaryDirectory(prefix="wasabipaddle-") as temporary:
        directory = pathlib.Path(keep or temporary)
        directory.mkdir(parents=True, exist_ok=True)
        layout = write_layout(source, directory, port_offset=port_offset)
        asyncio.run(_run_until_signal(source, layout, directory, apply))
    print("stopped", flush=True)


async def _run_until_signal(source, layout, directory, apply):
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    # Without a handler, SIGTERM would end the driver and leave its processes running.
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    processes = ProcessGroup(layout=layout, directory=directory)
    try:
        await processes.start_all()
        entries = layout.deployment.entries
        for entry in entries:
            pid = processes.children[entry.name].pid
            print(f"{entry.name:24} http://{entry.host}:{entry.api_port}  pid {pid}")
        if apply:
            await _apply_examples(source, layout)
        first = entries[0]
        print("to use the deployment from another shell:")
        print(f"export WASABIPADDLE_SERVER=http://{first.host}:{first.api_port}")
        print(f"export WASABIPADDLE_CONTROL={','.join(layout.controls)}")
        print("running; stop with Ctrl-C", flush=True)
        await stopped.wait()
    finally:
        await processes.stop_all()


async def _apply_examples(source, layout):
    documents, texts = _read_documents(source)
    callers = Callers(layout=layout, documents=documents, random=random.Random(1))
    await callers.open()
    try:
        await _apply_documents(callers, texts)
    finally:
        await callers.close()
    print(f"applied {', '.join(sorted(texts))}")


def _read_documents(source):
    files = sorted(p for p in source.glob("*.yaml") if p.name not in NON_DOCUMENT_FILES)
    texts = [p.read_text(encoding="utf-8") for p in files]
    documents = [
        parse_document(t, p.name).unwrap() for t, p in zip(texts, files, strict=True)
    ]
    by_service = {d.service: t for d, t in zip(documents, texts, strict=True)}
    return documents, by_service


async def _run_deployment(name, source, directory, layout, seed):
    started = time.monotonic()

    def log_progress(text):
        elapsed = time.monotonic() - started
        print(f"{name} {elapsed:5.1f} s  {text}", flush=True)

    deployment = layout.deployment
    documents, texts = _read_documents(source)
    processes = ProcessGroup(layout=layout, directory=directory)
    callers = Callers(layout=layout, documents=documents, random=random.Random(seed))
    control = StandinControl(urls=layout.controls)
    scenario = Scenario(
        processes=processes,
        control=control,
        callers=callers,
        deployment=deployment,
        documents=texts,
        log_progress=log_progress,
    )
    try:
        entries = len(deployment.entries)
        log_progress(
            f"start {entries} entry processes, {len(layout.standins)} stand-ins"
        )
        await processes.start_all()
        await callers.open()
        log_progress(f"apply {len(texts)} documents")
        await _apply_documents(callers, texts)
        log_progress("start the long-running services")
        await callers.start_services()
        log_progress("send requests, runs, gangs and cancellations")
        await _send_load(callers, scenario)
        log_progress("wait for the last runs")
        await callers.finish()
        log_progress("stop the long-running services")
        scenario.problems.extend(await callers.stop_services())
        verdict = await control.verdict(callers.ledger.record)
        record = await control.record()
    finally:
        await processes.stop_all()
        await callers.close()
        await control.close()
    log_progress(", ".join(f"{k} {v}" for k, v in sorted(callers.outcomes.items())))
    executed = {e.work for e in record.executions}
    return DemoResult(
        name=name,
        verdict=verdict,
        false_refusals=len(callers.refused & executed),
        problems=tuple(scenario.problems),
    )


async def _apply_documents(callers, texts):
    for service, text in texts.items():
        async with asyncio.timeout(DOCUMENT_TIMEOUT_S):
            while True:
                status, body = await callers.apply(service, text)
                if status in (200, 201):
                    break
                # The document may be stored already; `documents_applied` checks that.
                if body["outcome"] == "unknown" or status == 412:
                    break
                await asyncio.sleep(0.2)
    async with asyncio.timeout(DOCUMENT_TIMEOUT_S):
        while not await callers.documents_applied(texts):
            await asyncio.sleep(0.1)


async def _send_load(callers, scenario):
    deadline = asyncio.get_running_loop().time() + LOAD_S
    await asyncio.gather(
        callers.send_requests(deadline, period_s=REQUEST_PERIOD_S),
        callers.submit_runs(deadline, period_s=RUN_PERIOD_S),
        callers.cancel_runs(deadline, period_s=CANCEL_PERIOD_S),
        scenario.run(),
    )
