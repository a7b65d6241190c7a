#!/usr/bin/env python3
"""Plants bugs one by one in a copy of the sources and tells after how many days the hunt finds each.

Run from the root of a checkout: python3 bench/planted.py [FROM [MOST]]
"""
import pathlib, shutil, subprocess, sys, tempfile

CORE, MODEL, GREET = "crates/core/src/", "crates/standins/src/model.rs", "crates/exchange/src/greeting.rs"
BUGS = [
    ("a repeated ask is free whatever is open", CORE + "evidence.rs",
     "            if copies().any(|(c, o)| o.known == Known::Out", "            if false && copies().any(|(c, o)| o.known == Known::Out"),
    ("the journal is not read at the start", "crates/kernel/src/world.rs",
     "core.recover(wall(now), &s.journal);", "s.journal.clear();"),
    ("a copy is closed after a time-out", CORE + "engine.rs",
     "if matches!(outcome, Outcome::Refused | Outcome::Unreachable | Outcome::NotSent) {\n            self.copy_closed",
     "if matches!(outcome, Outcome::Refused | Outcome::Unreachable | Outcome::NotSent | Outcome::TimedOut) {\n            self.copy_closed"),
    ("another life of a node counts as the same", CORE + "evidence.rs",
     "whole && open.node_life == life && open.known == Known::Out", "whole && open.known == Known::Out"),
    ("a greeting does not wait for the ends that follow it", GREET,
     "Some(life) if self.left == 0 => {", "Some(life) if self.left == 0 || self.standing.is_empty() => {"),
    ("a greeting does not drop what was not started", MODEL,
     "        // What was not started is dropped: the controller takes it for never run if it is not told now.\n        self.drop_idle(now, &controller.name);",
     "        let _ = now;"),
    ("frames of an older link are acted on", "crates/kernel/src/world/wire.rs",
     "if !self.stations[node].model.is_current(&controller.name, wire as u64) {", "if false {"),
    ("nodes forget an end once it is told", MODEL,
     "Past { work, end, noted: false, again: (now + TELL_AGAIN, 0) }", "Past { work, end, noted: true, again: (now + TELL_AGAIN, 0) }"),
    ("copies in doubt do not count for spread", CORE + "engine.rs",
     "if self.class(of.class).is_none_or(|c| c.spread == Spread::Off) || self.ghosts.contains_key(&copy) {",
     "if self.class(of.class).is_some() {"),
    ("copies on a node that is listed again do not count", CORE + "engine.rs",
     "            for (copy, of) in self.evidence.back(node) {\n                self.haunt(copy, of);\n            }\n", ""),
    ("a given-up attempt that runs does not keep its ask from being sent again", CORE + "engine.rs",
     "            NodeNews::Running if self.went_on(at) => self.found(at, After::Runs),\n", ""),
    ("what a hanging node held back goes to any life", MODEL,
     "let heard = self.connected.get(&to).is_some_and(|(newest, _)| *newest == life);", "let heard = self.connected.contains_key(&to) || life == 0;"),
    ("adopted tasks are announced", CORE + "engine.rs",
     "            (j.answer, j.state) = (Some(Answer::Placed(node)), JobState::Running);\n        }\n        self.write_down();",
     "            j.state = JobState::Running;\n        }\n        self.settle_job(job, Answer::Placed(node));\n        self.write_down();"),
    ("the remainder of a cold node's offers goes by each clock", "src/choice.rs",
     "scatter(m.line.machine.0 ^ scatter(m.line.life)) % all", "scatter(m.line.machine.0 ^ scatter(m.line.started_at)) % all"),
]

def main():
    first, most = (sys.argv[1:] + ["1", "10000"][len(sys.argv) - 1:])[:2]
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "planted"
        ignore = shutil.ignore_patterns("target", ".git", "journal")
        shutil.copytree(".", copy, ignore=ignore)
        for name, file, old, new in [("none", None, None, None)] + BUGS:
            text = None
            if file:
                text = (copy / file).read_text()
                if text.count(old) != 1:
                    print(f"{name}: its place in {file} is not there", flush=True)
                    continue
                (copy / file).write_text(text.replace(old, new))
            run = ["cargo", "run", "-q", "--release", "-p", "peppercove-kernel", "--example", "first", "--", first, most]
            done = subprocess.run(run, cwd=copy, capture_output=True, text=True)
            print(f"{name}: {done.stdout.strip() or done.stderr.strip()[-300:]}", flush=True)
            if file:
                (copy / file).write_text(text)

main()
