"""The soak's harm: signals, store faults and target faults, each mended after a while."""

import json
import os
import random
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import anyio

import soak_clock
from balsamcleat.ports.rows import RowCommit, RowKey, RowWrite
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws
from odd_entries import FORMS, ODD_ENTRIES
from soak_clock import ClockOffset
from soak_link import SoakLink
from soak_stand import SoakTarget, StoreDoor
from soak_strand import Disturbance, Stranding, cut, heal

GRACE_S = 8.0
# VMs are in touch again this long after a fault.
CALM_S = 3.0
# Entries of other writers in the list of targets; none names a target.
FOREIGN_ENTRIES = (b"", b"\xff\xfe", *(v for form in FORMS for v in ODD_ENTRIES[form].values()))


@dataclass
class SoakVm:
    """One real process; its addresses are its own, so that ports don't clash."""

    name: str
    ip: str
    door: StoreDoor
    settings: Path
    log: Path
    links: list[SoakLink] = field(default_factory=list)
    # Sources of the build that the next start runs; None for those of this repository.
    sources: Path | None = None
    process: subprocess.Popen | None = None
    frozen: bool = False
    stranded: bool = False
    # Size of the log when the process was started, in bytes.
    log_size: int = 0
    # Process that got a signal before its program ran, and the signal.
    early_signal: tuple[subprocess.Popen, int] | None = None

    def start(self) -> None:
        """Start the process, unless an overlapping fault has started it already."""
        if self.process is not None and self.process.poll() is None:
            return
        environment = {**os.environ, "BALSAMCLEAT_CONFIG": str(self.settings)}
        if self.sources is not None:
            environment["PYTHONPATH"] = str(self.sources)
        with self.log.open("ab") as log:
            self.log_size = log.tell()
            self.process = subprocess.Popen(
                [sys.executable, soak_clock.__file__, str(self.clock_file)],
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def clock_file(self) -> Path:
        """File with the offset of the process's wall clock; it outlives the process."""
        return self.settings.with_suffix(".clock")

    def send(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            if self.is_before_program(self.process, number):
                self.early_signal = (self.process, number)
            self.process.send_signal(number)

    def is_before_program(self, process: subprocess.Popen, number: int) -> bool:
        """Return whether the interpreter still loads, so that no program can hold a signal.

        The program holds its signals first of all; one that wrote a line has run.
        """
        status = Path(f"/proc/{process.pid}/status").read_text()
        masks = dict(line.split(":\t", 1) for line in status.splitlines())
        held = int(masks["SigBlk"], 16) | int(masks["SigCgt"], 16)
        return not held >> (number - 1) & 1 and self.log.stat().st_size == self.log_size

    def may_have_ended(self, process: subprocess.Popen, code: int) -> bool:
        """Return whether a process that was asked to end may have this exit code."""
        # Another fault may have killed it.
        return code in (0, -signal.SIGKILL) or self.early_signal == (process, -code)

    def end(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()


@dataclass
class SoakFaults:
    """Does one harm at a time; several calls overlap."""

    rng: random.Random
    vms: list[SoakVm]
    engines: list[SoakTarget]
    plains: list[SoakTarget]
    store: MemoryRowStore
    breaks: Callable[[str, str], None]
    change_configuration: Callable[[], None]
    active: int = 0
    # Times at which the first of several overlapping faults began and the last one ended.
    disturbed: list[tuple[float, float]] = field(default_factory=list)
    began_s: float = 0.0
    strandings: list[Stranding] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)

    def disturb(self, vms: list[SoakVm], began_s: float) -> None:
        """Record that VMs, or their ways to the store, were disturbed until now."""
        ended_s = anyio.current_time()
        self.disturbances += [Disturbance(vm.name, began_s, ended_s) for vm in vms]

    async def one(self) -> None:
        """Do one harm, drawn at random, and mend it."""
        harms: tuple[Callable[[], Awaitable[None]], ...] = (
            self.kill,
            self.kill,
            self.stop,
            self.freeze,
            self.reload,
            self.store_silent,
            self.store_reset,
            self.store_down,
            self.store_slow,
            self.answers_of_the_store_lost,
            self.commits_late,
            self.history_lost,
            self.engine_crashes,
            self.engine_slow,
            self.engine_is_unlisted,
            self.engine_spoils_events,
            self.engine_copies_reports,
            self.plain_crashes,
            self.plain_answers_twice,
            self.plain_loses_answers,
            self.link_slow,
            self.link_reset,
            self.link_cut_one_way,
            self.link_silent,
            self.strand_vms,
            self.strand_vms,
            self.target_leaves,
            self.configuration_changes,
            self.clock_jumps,
            self.foreign_entry_comes,
        )
        await self.do(self.rng.choice(harms))

    async def do(self, harm: Callable[[], Awaitable[None]]) -> None:
        """Do a harm and record for which time it disturbed the VMs."""
        if not self.active:
            self.began_s = anyio.current_time()
        self.active += 1
        await harm()
        self.active -= 1
        if not self.active:
            self.disturbed.append((self.began_s, anyio.current_time()))

    def is_calm(self, at_s: float) -> bool:
        """Return whether no fault was active at a time, nor for a while before."""
        return all(at_s < began_s or at_s > end_s + CALM_S for began_s, end_s in self.disturbed)

    def for_s(self) -> float:
        return self.rng.uniform(0.3, 5.0)

    def vm(self) -> SoakVm:
        return self.rng.choice(self.vms)

    async def kill(self) -> None:
        vm, began_s = self.vm(), anyio.current_time()
        vm.end()
        await anyio.sleep(self.rng.uniform(0.0, 2.0))
        vm.start()
        self.disturb([vm], began_s)

    async def owner_dies(self, step: str) -> None:
        """Kill the owner of a step while the store is slow, so that its take-over takes long."""
        value, _ = self.store.rows.get(RowKey("steps", step, "owner"), (b"{}", 0))
        name = json.loads(value).get("vm")
        vm = next((vm for vm in self.vms if vm.name == name), self.vm())
        began_s = anyio.current_time()
        vm.end()
        await self.store_slow()
        vm.start()
        self.disturb([vm], began_s)

    async def stop(self) -> None:
        await self.restart(self.vm())

    async def restart(self, vm: SoakVm) -> None:
        """Ask a process to end, wait until it has, and start the next one."""
        began_s, process = anyio.current_time(), vm.process
        vm.send(signal.SIGTERM)
        if vm.sources is None:
            await self.signal_again(vm)
        if process is not None:
            await self.gone(vm, process)
        if vm.process is process:
            vm.start()
        self.disturb([vm], began_s)

    async def signal_again(self, vm: SoakVm) -> None:
        """Send some more signals to a process that is to end."""
        for _ in range(self.rng.randrange(3)):
            await anyio.sleep(self.rng.uniform(0.0, 1.5))
            self.change_settings(vm)
            vm.send(self.rng.choice((signal.SIGHUP, signal.SIGHUP, signal.SIGTERM)))

    async def gone(self, vm: SoakVm, process: subprocess.Popen) -> None:
        """Wait until a process has ended by itself; one that doesn't breaks a promise.

        Another fault may have killed it meanwhile and started the next one.
        """
        for _ in range(int(GRACE_S / 0.1)):
            code = process.poll()
            if code is not None:
                if not vm.may_have_ended(process, code):
                    self.breaks("ends by itself", f"{vm.name} with {code}")
                return
            await anyio.sleep(0.1)
        if not vm.frozen:
            self.breaks("ends within its grace", vm.name)
        process.kill()
        process.wait()

    async def freeze(self) -> None:
        vm, began_s = self.vm(), anyio.current_time()
        vm.frozen = True
        vm.send(signal.SIGSTOP)
        await anyio.sleep(self.for_s())
        vm.send(signal.SIGCONT)
        vm.frozen = False
        self.disturb([vm], began_s)

    async def reload(self) -> None:
        vm = self.vm()
        self.change_settings(vm)
        vm.send(signal.SIGHUP)

    def change_settings(self, vm: SoakVm) -> None:
        """Write the settings file anew, with the same settings."""
        vm.settings.write_text(vm.settings.read_text() + " ")

    async def store_silent(self) -> None:
        vm, began_s = self.vm(), anyio.current_time()
        vm.door.silent = True
        await anyio.sleep(self.for_s())
        vm.door.silent = False
        self.disturb([vm], began_s)

    async def store_reset(self) -> None:
        vm, began_s = self.vm(), anyio.current_time()
        vm.door.reset = True
        await anyio.sleep(self.for_s())
        vm.door.reset = False
        self.disturb([vm], began_s)

    async def store_down(self) -> None:
        await self.for_all(lambda flaws, on: setattr(flaws, "down", on))

    async def store_slow(self) -> None:
        await self.for_all(lambda flaws, on: setattr(flaws, "delay_s", 0.2 if on else 0.002))

    async def for_all(self, change: Callable[[RowStoreFlaws, bool], None]) -> None:
        began_s = anyio.current_time()
        for vm in self.vms:
            change(vm.door.flaws, True)
        await anyio.sleep(self.for_s())
        for vm in self.vms:
            change(vm.door.flaws, False)
        self.disturb(self.vms, began_s)

    async def answers_of_the_store_lost(self) -> None:
        self.vm().door.flaws.lose_answers += self.rng.randrange(1, 5)

    async def commits_late(self) -> None:
        self.vm().door.flaws.hold_commits += self.rng.randrange(1, 3)
        await anyio.sleep(self.for_s())
        self.store.release()

    async def history_lost(self) -> None:
        self.store.forget_history()

    async def engine_crashes(self) -> None:
        await self.crash(self.rng.choice(self.engines))

    async def plain_crashes(self) -> None:
        await self.crash(self.rng.choice(self.plains))

    async def crash(self, target: SoakTarget) -> None:
        if target.up:
            await target.crash(self.for_s())

    async def engine_slow(self) -> None:
        engine = self.rng.choice(self.engines)
        engine.slow = self.rng.uniform(2.0, 6.0)
        await anyio.sleep(self.for_s())
        engine.slow = 1.0

    async def engine_is_unlisted(self) -> None:
        """Cut an engine from the store, so that its entry is away while it serves."""
        engine = self.rng.choice(self.engines)
        engine.is_unlisted = True
        engine.put(None)
        await anyio.sleep(self.for_s())
        engine.is_unlisted = False
        if engine.up:
            engine.put("draining" if engine.draining_since_s else "ready")

    async def engine_spoils_events(self) -> None:
        engine = self.rng.choice(self.engines)
        engine.spoiled_events = 0.05
        await anyio.sleep(self.for_s())
        engine.spoiled_events = 0.0

    async def engine_copies_reports(self) -> None:
        engine = self.rng.choice(self.engines)
        engine.copies_reports = True
        await anyio.sleep(self.for_s())
        engine.copies_reports = False

    def target(self) -> SoakTarget:
        return self.rng.choice([*self.engines, *self.plains])

    async def link_slow(self) -> None:
        link = self.target().link
        link.delay_s = self.rng.uniform(0.02, 0.3)
        await anyio.sleep(self.for_s())
        link.delay_s = 0.0

    async def link_reset(self) -> None:
        self.target().link.reset()

    async def link_cut_one_way(self) -> None:
        link = self.target().link
        way = self.rng.choice(("drops_requests", "drops_answers"))
        setattr(link, way, True)
        await anyio.sleep(self.for_s())
        setattr(link, way, False)
        # What was lost in between can't be made good; those connections are of no use.
        link.reset()

    async def link_silent(self) -> None:
        link = self.target().link
        link.drops_requests = link.drops_answers = True
        await anyio.sleep(self.for_s())
        link.drops_requests = link.drops_answers = False
        link.reset()

    async def strand_vms(self) -> None:
        """Cut some VMs, but not all, from all targets, for longer than the rule allows."""
        free = [vm for vm in self.vms if not vm.stranded]
        count = self.rng.randrange(1, len(self.vms))
        chosen = self.rng.sample(free, min(count, len(free) - 1)) if len(free) > 1 else []
        if not chosen:
            return
        how = self.rng.choice(("reset", "silent", "live"))
        began_s = anyio.current_time()
        for vm in chosen:
            vm.stranded = True
            await cut(vm.links, how)
        await anyio.sleep(self.rng.uniform(4.0, 8.0))
        for vm in chosen:
            await heal(vm.links, how)
            vm.stranded = False
        names = frozenset(vm.name for vm in chosen)
        self.strandings.append(Stranding(names, began_s, anyio.current_time()))

    async def target_leaves(self) -> None:
        target = self.target()
        if target.up and target.draining_since_s is None:
            await target.leave()

    async def configuration_changes(self) -> None:
        self.change_configuration()

    async def clock_jumps(self) -> None:
        """Move the wall clock of a VM by seconds, and back; nothing may be disturbed by it."""
        clock = ClockOffset(self.vm().clock_file)
        clock.set(self.rng.choice((-1.0, 1.0)) * self.rng.uniform(0.5, 8.0))
        await anyio.sleep(self.for_s())
        clock.set(0.0)

    async def foreign_entry_comes(self) -> None:
        """Write an entry of another writer into the list of targets, and remove it later."""
        key = RowKey("servers", "", f"foreign{self.rng.randrange(3)}")
        self.store.apply(RowCommit((RowWrite(key, self.rng.choice(FOREIGN_ENTRIES)),)))
        await anyio.sleep(self.for_s())
        self.store.apply(RowCommit((RowWrite(key, None),)))

    async def plain_answers_twice(self) -> None:
        plain = self.rng.choice(self.plains)
        plain.answer_twice = True
        await anyio.sleep(self.for_s())
        plain.answer_twice = False

    async def plain_loses_answers(self) -> None:
        plain = self.rng.choice(self.plains)
        plain.lose_answers = 0.2
        await anyio.sleep(self.for_s())
        plain.lose_answers = 0.0
