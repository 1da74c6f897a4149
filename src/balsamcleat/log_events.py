"""Every log line of an entry VM's process: its name, its fields, what it says.

Each event is also a counter, ``events.NAME``, which counts lines that were dropped as well. A test
compares this list with the code, and docs/LOG-EVENTS.md is made from it:
``python -m balsamcleat.log_events > docs/LOG-EVENTS.md``.
"""

from dataclasses import dataclass

__all__ = ["COMMON_FIELDS", "EVENTS", "LogEvent", "render"]

COMMON_FIELDS = ("at_s", "vm", "level", "event")


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One kind of line.

    Attributes:
        name: Its name.
        meaning: What was decided or learnt.
        fields: The fields that it may have beside the common ones.
    """

    name: str
    meaning: str
    fields: tuple[str, ...] = ()


def event(name: str, meaning: str, fields: str = "") -> LogEvent:
    """Return an event; its fields are given in one text."""
    return LogEvent(name, meaning, tuple(fields.split()))


CONTENT = "content known_crashes"
USAGE = "window requests teams vms after_end_s late_s"
ATTEMPT = "request route target candidates load load_age_s took_s"

EVENTS = (
    # The process.
    event("start", "The process runs.", "boot zone store"),
    event(
        "stop asked for", "A signal asked it to end; it hands over and serves on.", "signal again"
    ),
    event("stop", "The process ends.", "boot"),
    event("reload", "The settings file was read again.", "cause changed"),
    event(
        "reload failed",
        "The settings file can't be read; the old settings stay.",
        "reason exception",
    ),
    event("not all handed over", "The store was away while leaving.", "reason"),
    event(
        "readiness",
        "The answer to the balancer changed.",
        "now before store_silence_s peers_answered peers_reach_store",
    ),
    event("log lines dropped", "Lines that did not fit, by their names.", "counts"),
    # Live requests.
    event(
        "request answered",
        "The caller got a target's answer.",
        "request route status took_s attempts version",
    ),
    event(
        "request refused",
        "The caller got an answer of ours: 503 not run, 502 or 504 outcome unknown.",
        "request status reason retry_after_s",
    ),
    event(
        "key refused",
        "No team has the key: 401, or 503 if the key may be newer than the configuration.",
        "request status reason key version age_s",
    ),
    event(
        "call waited",
        "It got a place at a plain service after it had waited here.",
        "request service rank waited_s left_s own",
    ),
    event("request failed by a fault", "A fault of this program.", "request path exception"),
    event("connection failed by a fault", "A fault of this program.", "client exception"),
    event("connection not kept", "The rest of a target's answer was broken.", "peer reason"),
    event(
        "stream reader too slow",
        "The caller did not read its stream; it was cut off, and its target is not to blame.",
        "request reason",
    ),
    event(
        "slow client cut off",
        "A client made no progress for 1 s and was cut off to free memory.",
        "client",
    ),
    event(
        "unsolicited bytes",
        "A server sent data on an idle connection; the connection was closed.",
        "peer",
    ),
    event("caller gone", "The caller closed before its answer.", "request path took_s"),
    event("no route", "No route of the configuration takes it.", "request host path version"),
    event("attempt answered", "A target answered whole.", f"{ATTEMPT} status"),
    event(
        "attempt failed", "A target did not; the kind says how.", f"{ATTEMPT} {CONTENT} kind reason"
    ),
    event(
        "attempt cancelled",
        "No response came, and nobody waits for one: another target answered, or time is up.",
        f"request target {CONTENT} took_s left_s",
    ),
    event(
        "stream attempt failed",
        "A stream broke off after this event.",
        f"request target software last_event kind reason {CONTENT}",
    ),
    event(
        "target path",
        "This VM found out whether it, or another VM, reaches a target.",
        "target now before relays",
    ),
    event("peer not asked about targets", "It does not answer.", "peer reason"),
    event("peer's question unreadable", "It has another form.", "reason"),
    event("peer's request unreadable", "It is not passed on.", "path"),
    event(
        "request not passed on",
        "A target sent no whole response to a request of another VM.",
        "request target kind reason",
    ),
    event(
        "crash withdrawn",
        "Other VMs reach the target: this VM lost its link.",
        "request target",
    ),
    event("streams not shared", "A VM that keeps them does not answer.", "peer reason"),
    event("keeper did not answer", "A caller resumes a stream.", "peer stream reason"),
    event("peer's streams unreadable", "Its message has another form.", "reason"),
    event(
        "request cut off by its target",
        "It may have crashed it. The digests tell in what two requests differ.",
        f"request target how {CONTENT} caller path_digest body_digest",
    ),
    event("crash read from the store", "A VM saw it.", f"target {CONTENT} row_version"),
    event(
        "crash not shared",
        "The store did not take it; it is written until the store does. Once an outage.",
        "content reason",
    ),
    event("crash rejected by the store", "It is known to this VM only.", "content reason"),
    event("request cleared", "A target answered it whole; it is no suspect any more.", CONTENT),
    event("trial not claimed", "The store failed; it stays blocked.", "content reason"),
    event("request blocked", "Several targets crashed under it.", f"request {CONTENT}"),
    # Trainers' calls.
    event("step accepted", "The step is kept.", "step how"),
    event("step refused", "The submission can't be read.", "request reason"),
    event("call refused", "The store did not answer; nothing was done.", "step status reason"),
    event("step's outcome unknown", "The step may be kept.", "step status reason"),
    event("step not found", "There is no such step or sample; the reason says why.", "step reason"),
    event(
        "results read",
        "The trainer got results: a page of those at hand from the position on, of all samples.",
        "step position results available total source took_s",
    ),
    event("end kept", "The trainer ended the step.", "step"),
    # Owners of steps.
    event("step owner", "The store says who owns a step.", "step owner row_version"),
    event("step without owner", "Its owner is dead.", "step owner silence_s row_version"),
    event(
        "step left to its silent owner",
        "Its heartbeats are late, but it answers and reaches the store.",
        "step owner",
    ),
    event("step taken over", "This VM runs it now.", "step before listed at_hand age_s"),
    event(
        "store was silent",
        "It answers again; the state of the steps is read, which the feeds may deliver late.",
        "seconds steps",
    ),
    event("step not started", "It changed while its records were read.", "step reason"),
    event("step claimed by another VM", "Another one was faster.", "step"),
    event("step not taken over", "The store failed.", "step reason"),
    event("step without submission", "Its rows are missing.", "step"),
    event("step taken by another VM", "This VM stops running it.", "step owner"),
    event("results not compared yet", "The store does not answer.", "step reason"),
    event(
        "other results in the store",
        "A commit was refused, and its position has other results; the step is loaded again.",
        "step position results row_version",
    ),
    event("step lost to another VM", "A conditional write said so.", "step position"),
    event("step handed over", "This VM leaves.", "step text_of"),
    event("step not handed over", "The store failed.", "step reason"),
    event("step ended", "Its samples are taken off.", "step listed carried"),
    event("process was paused", "Its steps are asked about before they go on.", "seconds steps"),
    event("step confirmed", "The store said what became of it.", "step ended lost"),
    event("step not confirmed yet", "The store failed; no sample is started.", "step reason"),
    event(
        "step waits for its team",
        "It was stored with a key that no team of the configuration has.",
        "step key",
    ),
    event("step given up", "All that is left is listed as given up.", "step reason"),
    # Samples.
    event("text carried over", "Text of the step before serves this one.", "step groups"),
    event("no text of earlier steps", "It could not be read.", "step reason"),
    event("text ignored", "It can't be read; its sample runs without it.", "part key reason"),
    event("text not kept", "It is kept later or lost with this VM.", "step reason"),
    event(
        "sample run ended",
        "A run at a target is over; load, pace and version are what was believed at its start.",
        "step sample target end reason events resumed_at took_s load pace_ms version software",
    ),
    event("submission read failed by a fault", "A fault of this program.", "step exception"),
    event("sample run failed by a fault", "A fault of this program.", "step sample exception"),
    event(
        "scorer called",
        "A complete text was sent to be scored; without a status no target answered.",
        "sample request service status runs failures took_s",
    ),
    event("sample has no scorer", "No route takes the request; it is tried again.", "sample host"),
    event("sample not scored", "Its scorer failed too often; it is given up.", "step sample"),
    event(
        "start not confirmed", "A target whose stream broke off does not answer.", "target reason"
    ),
    event(
        "sample begun anew",
        "No target continues it; its events so far are lost.",
        "step sample lost_events software reason",
    ),
    event(
        "engines divided",
        "The holder of the lease on orders gives models other numbers of engines.",
        "service engines before work open_steps",
    ),
    event(
        "step expected late",
        "Its groups are started one after the other from now on.",
        "step expected_end_s due_s running unfinished",
    ),
    event(
        "step expected in time",
        "Its samples are started longest first again.",
        "step expected_end_s",
    ),
    event("sample moved", "It leaves a slow target.", "step sample source goal"),
    event("target is behind", "It runs a version that the step doesn't allow.", "target version"),
    event(
        "results listed",
        "They are kept and may be read; the owner row has this version.",
        "step position results row_version",
    ),
    event("results not listed yet", "The store failed.", "step position results reason"),
    # What is believed.
    event("configuration in force", "A newer one.", "version before row_version routes teams"),
    event("document refused", "It can't be read.", "key reason"),
    event("version named", "A trainer named a weight version.", "model version"),
    *(
        event(
            f"target {what}",
            "The list says so.",
            "target service address software started_ms row_version",
        )
        for what in ("listed", "ready", "draining", "restarted", "gone")
    ),
    event(
        "target leaving",
        "It said so in an answer; it gets nothing new.",
        "target service address row_version",
    ),
    event(
        "target started unseen",
        "It names a later start than the list; it gets nothing under the old one.",
        "target listed_ms started_ms",
    ),
    *(
        event(
            f"target limit {what}",
            "A response, or another VM's row, says so.",
            "target limit_per_s before_per_s source",
        )
        for what in ("began", "changed", "ended")
    ),
    event("limits not read", "Another VM's row has them in a form unknown here.", "reason"),
    event("row field not read", "Another VM's row has it in a form unknown here.", "type reason"),
    # Usage reports.
    event("usage reported", "The platform accepted the report of a window.", USAGE),
    event(
        "usage delayed",
        "Reports wait; consecutive lines with the same reason are left out.",
        "reason",
    ),
    event(
        "usage incomplete",
        "A report lacks the last counts of VMs that are silent; it can't wait any longer.",
        "window awaited",
    ),
    event(
        "usage report rejected", "The platform takes it for invalid; it is not repeated.", "window"
    ),
    event("usage report given up", "It was not accepted within 600 s.", "window"),
    event("usage report unreadable", "Its row is broken; it is not replaced.", "window reason"),
    event("usage taken over", "From the row of this VM's earlier process.", "first complete"),
    event("clock jumped", "This VM's wall clock jumped by so many seconds.", "by_s"),
    event("target limit ignored", "Its value is no number of 0 or more.", "target reason"),
    event(
        "turned away for a limit",
        "The targets' limits leave this VM no request in time.",
        "request service wait_s retry_after_s",
    ),
    event("target entry ignored", "Written by another, or unreadable.", "target row_version"),
    event("row ignored", "Its key is none of ours.", "table part key"),
    event(
        "value incomplete",
        "The store lacks rows of a value, which counts as absent.",
        "table part key rows expected",
    ),
    event(
        "row left out",
        "A fault of this program in the handling of one row, perhaps of another writer.",
        "table part key row_version exception",
    ),
    event(
        "store row ignored",
        "The store sent a row without a readable name or version; the others count.",
        "table reason",
    ),
    event("store lost", "A feed does not answer.", "table version reason"),
    event("store regained", "It does again.", "table failures"),
    event("feed gap", "History was lost; the table is read in full.", "table after"),
    event("store reached by way of a peer", "The straight way is closed.", "peer"),
    event("store reached straight again", "It is open."),
    event(
        "peers asked about the store",
        "Their answers changed.",
        "asked answered reach_store silence_s",
    ),
    event("peer's call unreadable", "A peer of another release.", "call reason"),
    event("presence lost", "Other VMs may take this one for dead.", "what reason"),
    event("presence regained", "They no longer do.", "what"),
    event(
        "step deleted",
        "It was ended and nobody may ask for it any more, by what the store said at store_ms.",
        "step rows owner row_version accepted_ms store_ms",
    ),
    event(
        "step not deleted",
        "It seemed expired, but by the store's answer it is open or retained, or it has changed.",
        "step reason row_version accepted_ms store_ms",
    ),
    event("text deleted", "Saved text of a step, or for a trainer's next step.", "part rows"),
    event("VM forgotten", "It was silent for so long that it was replaced.", "gone silence_s"),
    event("cleaning failed", "It is tried again.", "reason"),
    # Orders to engines.
    event(
        "lease on orders taken",
        "This VM gives the orders.",
        "fence before before_ordering first_order_in_ms",
    ),
    event("lease on orders given up", "This VM lost links to engines.", "fence"),
    event("lease on orders lost", "Another VM has it.", "fence"),
    event("lease on orders not tended", "The store failed.", "reason"),
    event("lease on orders tended again", "It answers."),
    # Other duties of one VM; the last two lines are also written for orders.
    event(
        "duty lease taken",
        "This VM performs the duty; its first call is sent after the wait.",
        "duty fence before before_calling first_call_in_ms",
    ),
    event("duty lease given up", "This VM's calls got no responses for 2 s.", "duty fence"),
    event("duty lease lost", "Another VM has it.", "duty fence"),
    event("duty lease not renewed or read", "The store failed.", "duty reason"),
    event("duty lease renewed or read again", "The store answers again.", "duty"),
    event("duty calls wait for the store", "The lease is not written.", "duty reason"),
    event("duty lease renewed late", "Over 1 s after the previous renewal.", "duty fence after_s"),
    event("duty lease released", "It is free for another VM.", "duty fence"),
    event(
        "weight order",
        "An engine was ordered to load a version.",
        "target model version fence order_count outcome",
    ),
    event(
        "weight order failed by a fault",
        "A fault of this program; the target gets another order later.",
        "target exception",
    ),
    event("weights loaded", "It runs the version.", "target version"),
    event("weights not loaded", "It says that it loads nothing.", "target"),
    event("no report", "It did not say its state.", "target reason"),
    event("orders wait for the store", "They are given later.", "reason"),
    # The number of targets.
    event(
        "targets ordered",
        "The platform was told how many targets of a kind to run in a zone; with the inputs.",
        "service zone kind before count reason outcome fence ready loaded_all slots "
        "slots_together busy_slots steps_late steps_slow learned demand_age_s list_age_s",
    ),
    event(
        "reclaimable targets taken away",
        "The zone gets others for a while.",
        "service zone",
    ),
    event(
        "target orders taken over",
        "This VM orders targets from now on; it has read the last orders.",
        "fence rows",
    ),
    event("target orders changed by another VM", "They are read again.", "service zone"),
    event("target orders wait for the store", "They are given later.", "reason"),
    event("duty failed by a fault", "A fault of this program.", "duty exception"),
)


def render() -> str:
    """Return the page on log lines."""
    lines = [
        "# Log lines of an entry VM",
        "",
        "One JSON object a line on standard output. Every line has `at_s` (Unix seconds), `vm`,",
        "`level` and `event`. Made by `python -m balsamcleat.log_events`. Each event is also the",
        "counter `balsamcleat_events_NAME_total`, which counts dropped lines, too.",
        "",
        "| event | says | fields |",
        "|---|---|---|",
    ]
    for item in EVENTS:
        fields = ", ".join(f"`{field}`" for field in item.fields)
        lines.append(f"| `{item.name}` | {item.meaning} | {fields} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(render(), end="")
