//! The page's tables of needs: roles, ranking, target, assumptions, sizes.

use crate::page::book::{Book, Estimate};
use crate::page::need::{Budget, Needs, Times, Worked, plain, ranked};
use crate::page::words::{axis, short, table, with_unit};
use crate::row::{Axis, Basis, Row};
use crate::slope::Slope;
use crate::target::{Assumed, Target};
use anyhow::{Context, Result};
use std::collections::{BTreeMap, BTreeSet};

/// The roles that have needs, in their order.
pub fn roles(needs: &Needs) -> Vec<&str> {
    let mut seen = BTreeSet::new();
    needs
        .needs
        .iter()
        .map(|n| n.role.as_str())
        .filter(|role| seen.insert(*role))
        .collect()
}

fn from(estimate: Option<&Estimate>) -> String {
    let Some(e) = estimate else {
        return String::new();
    };
    let along = e.axes.iter().map(|a| {
        let beyond = if e.outside.contains(a) {
            " (beyond what was measured)"
        } else {
            ""
        };
        format!("{}{beyond}", axis(*a))
    });
    let hollow = if e.subject.hollow { "hollow" } else { "real" };
    format!(
        "{} along {}; {hollow}; {}",
        e.subject.measure,
        along.collect::<Vec<_>>().join(", "),
        e.files.join(", ")
    )
}

fn budget(worked: &Worked, target: &Target) -> String {
    match worked.need.budget.figure(target) {
        Some((figure, unit)) => format!(
            "{}: {}",
            worked.need.budget.words(),
            with_unit(Some(figure), unit)
        ),
        None => Budget::None.words().into(),
    }
}

fn need(worked: &Worked, target: &Target) -> String {
    let own = || match worked.estimate.as_ref().map(|e| plain(&e.unit).1) {
        Some("s") if worked.need.times != Times::Once => "cores",
        Some("s") => "s",
        Some("bytes") if worked.need.times != Times::Once => "bytes/s",
        Some("bytes") => "bytes",
        _ => "count",
    };
    with_unit(
        worked.figure,
        worked
            .need
            .budget
            .figure(target)
            .map_or_else(own, |(_, unit)| unit),
    )
}

/// How many of each role, why, and what falls to one of them.
pub fn of_roles(needs: &Needs, target: &Target) -> String {
    let rows = roles(needs).into_iter().map(|role| {
        let many = target.processes(role);
        let figures = [
            target.standing / many,
            target.starts_a_second / many,
            target.connections(role).round(),
        ];
        let mut cells = vec![
            role.to_owned(),
            short(Some(many)),
            Target::why(role).to_owned(),
        ];
        cells.extend(figures.map(|figure| short(Some(figure))));
        cells
    });
    let head = [
        "role",
        "how many",
        "why",
        "standing tasks of one",
        "starts/s of one at the peak",
        "connections of one with machines or schedulers at the peak",
    ];
    table(&head, rows.collect())
}

/// Each need: figure, budget, slope, mechanism.
pub fn of_needs(worked: &[Worked], target: &Target) -> String {
    let rows = worked.iter().map(|w| {
        let each = w.estimate.as_ref();
        let place = if w.need.place.is_empty() {
            String::new()
        } else {
            format!(" (`{}`)", w.need.place)
        };
        vec![
            w.need.role.clone(),
            w.need.name.clone(),
            each.map_or_else(|| short(None), |e| with_unit(Some(e.figure), &e.unit)),
            match w.need.times {
                Times::Once => Times::Once.words().to_owned(),
                times => format!("{} {}", short(Some(w.times)), times.words()),
            },
            need(w, target),
            budget(w, target),
            if w.need.budget == Budget::None {
                "-".into()
            } else {
                short(w.ratio)
            },
            from(each),
            w.need.mechanism.clone() + &place,
        ]
    });
    let head = [
        "role",
        "need",
        "one, at that size",
        "times",
        "need of one process",
        "budget",
        "need over budget",
        "from",
        "carried by",
    ];
    table(&head, rows.collect())
}

/// What all schedulers need together by the largest row of each role and budget, beside the machines set aside. The budgets
/// are a scheduler's, whichever role a row was measured on.
pub fn together(worked: &[Worked], target: &Target) -> String {
    let mut largest: BTreeMap<(&str, Summed), f64> = BTreeMap::new();
    for w in worked {
        let (Some(figure), Some(kind)) = (w.figure, Summed::of(w.need.budget)) else {
            continue;
        };
        let all = figure * target.taken(Assumed::Schedulers);
        let most = largest.entry((w.need.role.as_str(), kind)).or_default();
        *most = most.max(all);
    }
    let cores = target.set_aside * target.taken(Assumed::CoresAMachine);
    let rows = largest.into_iter().map(|((role, kind), all)| {
        let (what, unit) = match kind {
            Summed::Core => ("processor time", "cores"),
            Summed::Memory => ("memory", "bytes"),
            Summed::Bytes => ("bytes a second", "bytes/s"),
        };
        let share = if kind == Summed::Core {
            format!(
                "{} of {} cores set aside",
                short(Some(all / cores)),
                short(Some(cores))
            )
        } else {
            format!(
                "{} on each machine set aside",
                with_unit(Some(all / target.set_aside), unit)
            )
        };
        vec![
            role.to_owned(),
            what.to_owned(),
            with_unit(Some(all), unit),
            share,
        ]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    table(
        &["measured on", "what", "all schedulers", "share"],
        if rows.is_empty() { vec![none(4)] } else { rows },
    )
}

/// The budgets that add up over processes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Summed {
    Core,
    Memory,
    Bytes,
}

impl Summed {
    fn of(budget: Budget) -> Option<Summed> {
        match budget {
            Budget::Core => Some(Summed::Core),
            Budget::Memory => Some(Summed::Memory),
            Budget::Bytes => Some(Summed::Bytes),
            _ => None,
        }
    }
}

fn none(cells: usize) -> Vec<String> {
    let mut row = vec![String::new(); cells];
    row[0] = short(None);
    row
}

/// Need over budget, largest first; then what was not measured, then what does not exist.
pub fn of_ranking(worked: &[Worked], needs: &Needs, target: &Target) -> String {
    let mut rows: Vec<Vec<String>> = Vec::new();
    for w in ranked(worked) {
        let next = if w.ratio.is_some_and(|r| r > 1.0) {
            w.need.next.clone()
        } else {
            "within budget".into()
        };
        rows.push(vec![
            (rows.len() + 1).to_string(),
            w.need.role.clone(),
            w.need.name.clone(),
            need(w, target),
            budget(w, target),
            short(w.ratio),
            next,
        ]);
    }
    for w in worked
        .iter()
        .filter(|w| w.estimate.is_none() && w.need.budget != Budget::None)
    {
        let (role, name) = (w.need.role.clone(), w.need.name.clone());
        rows.push(vec![
            "-".into(),
            role,
            name,
            short(None),
            budget(w, target),
            short(None),
            w.need.next.clone(),
        ]);
    }
    for a in &needs.absent {
        let (role, what) = ("-".to_owned(), a.what.clone());
        rows.push(vec![
            "-".into(),
            role,
            what,
            "does not exist".into(),
            String::new(),
            short(None),
            a.next.clone(),
        ]);
    }
    table(
        &[
            "rank",
            "role",
            "need",
            "need of one process",
            "budget",
            "need over budget",
            "next",
        ],
        rows,
    )
}

/// A template over the target's figures, filled in.
fn filled(text: &str, target: &Target) -> Result<String> {
    let mut figures: BTreeMap<String, f64> = target.figures()?.into_iter().collect();
    let more = [
        (
            "starts_of_one",
            target.starts_a_second / target.taken(Assumed::Schedulers),
        ),
        ("mean_starts", target.mean_starts()),
        ("configuration_changes", target.configuration_changes()),
        ("list_changes", target.list_changes()),
    ];
    figures.extend(more.map(|(name, figure)| (name.to_owned(), figure)));
    let mut env = minijinja::Environment::new();
    env.set_undefined_behavior(minijinja::UndefinedBehavior::Strict);
    env.add_filter("short", |figure: f64| short(Some(figure)));
    env.render_str(text, figures)
        .with_context(|| format!("the text {text:?}"))
}

/// Each line of the target, what carries it and what shows that.
///
/// # Errors
/// Where a line names a figure that the target has not.
pub fn of_lines(worked: &[Worked], needs: &Needs, target: &Target) -> Result<String> {
    let rows = needs.lines.iter().map(|line| {
        let shown = line
            .needs
            .iter()
            .filter_map(|name| worked.iter().find(|w| w.need.name == *name));
        let shown: Vec<String> = shown
            .map(|w| match w.ratio {
                Some(ratio) => {
                    let files = w
                        .estimate
                        .as_ref()
                        .map(|e| e.files.join(", "))
                        .unwrap_or_default();
                    format!(
                        "{}: {} of its budget ({files})",
                        w.need.name,
                        short(Some(ratio))
                    )
                }
                None => format!("{}: {}", w.need.name, need(w, target)),
            })
            .collect();
        let shown = if shown.is_empty() {
            "no run".into()
        } else {
            shown.join("; ")
        };
        Ok(vec![
            filled(&line.line, target)?,
            line.carried.clone(),
            shown,
            line.missing.clone(),
        ])
    });
    let rows = rows.collect::<Result<Vec<_>>>()?;
    Ok(table(
        &[
            "target",
            "carried by",
            "shown by, need over budget",
            "missing, and where that is listed",
        ],
        rows,
    ))
}

/// What does not exist yet: demand, no figure of its own.
///
/// # Errors
/// Where a demand names a figure that the target has not.
pub fn of_absent(needs: &Needs, target: &Target) -> Result<String> {
    let rows = needs.absent.iter().map(|a| {
        Ok(vec![
            a.what.clone(),
            filled(&a.demand, target)?,
            a.today.clone(),
            short(None),
            a.next.clone(),
        ])
    });
    let rows = rows.collect::<Result<Vec<_>>>()?;
    Ok(table(
        &["what", "its demand", "today", "need over budget", "next"],
        rows,
    ))
}

/// Each assumption at half and at twice its value: the needs whose ratio moves by a twentieth or more.
///
/// # Errors
/// As [`Worked::out`].
pub fn of_assumptions(needs: &Needs, book: &Book, target: &Target) -> Result<String> {
    let taken = Worked::all(needs, book, target)?;
    let mut rows = Vec::new();
    for assumption in &target.assumptions {
        let mut cells = vec![
            assumption.question.clone(),
            format!("{}: {}", short(Some(assumption.taken)), assumption.why),
        ];
        for factor in [0.5, 2.0] {
            let value = assumption.taken * factor;
            if assumption.name == Assumed::ControlShare && value > 1.0 {
                cells.push("1 is all there is".into());
                continue;
            }
            let other = target.with(assumption.name, value);
            let moved = Worked::all(needs, book, &other)?;
            let moved = taken.iter().zip(&moved).filter_map(|(before, after)| {
                let (b, a) = (before.ratio?, after.ratio?);
                ((a - b).abs() > b * 0.05).then(|| {
                    format!(
                        "{} {} (was {})",
                        before.need.name,
                        short(Some(a)),
                        short(Some(b))
                    )
                })
            });
            let mut moved: Vec<String> = moved.collect();
            let mean = (target.mean_starts(), other.mean_starts());
            if mean.0 != mean.1 {
                moved.push(format!(
                    "mean of the day {} starts/s (was {})",
                    short(Some(mean.1)),
                    short(Some(mean.0))
                ));
            }
            if assumption.name == Assumed::CoresAMachine {
                moved.push(format!(
                    "{} cores set aside in all",
                    short(Some(value * target.set_aside))
                ));
            }
            if assumption.name == Assumed::MachinesARack {
                moved.push(format!(
                    "{} tasks on a rack",
                    short(Some(value * target.standing / target.machines))
                ));
            }
            let text = if moved.is_empty() {
                "no measured need moves by a twentieth".into()
            } else {
                moved.join("; ")
            };
            cells.push(format!("{}: {text}", short(Some(value))));
        }
        rows.push(cells);
    }
    Ok(table(
        &[
            "open",
            "taken as",
            "need over budget at half of it",
            "at twice",
        ],
        rows,
    ))
}

/// Need over budget at a tenth of the size, at it, and at ten times.
///
/// # Errors
/// As [`Worked::out`].
pub fn of_sizes(needs: &Needs, book: &Book, target: &Target) -> Result<String> {
    let sizes = [0.1, 1.0, 10.0].map(|factor| target.scaled(factor));
    let worked = sizes
        .iter()
        .map(|t| Worked::all(needs, book, t))
        .collect::<Result<Vec<_>>>()?;
    let mut rows = Vec::new();
    for (i, need) in needs.needs.iter().enumerate() {
        if worked.iter().all(|w| w[i].ratio.is_none()) {
            continue;
        }
        let mut cells = vec![need.role.clone(), need.name.clone()];
        cells.extend(worked.iter().map(|w| short(w[i].ratio)));
        rows.push(cells);
    }
    let first = |worked: &Vec<Worked>| match ranked(worked).first() {
        Some(w) if w.ratio.is_some_and(|r| r > 1.0) => w.need.name.clone(),
        Some(_) => "nothing measured".into(),
        None => short(None),
    };
    let mut last = vec!["**gives out first**".to_owned(), String::new()];
    last.extend(worked.iter().map(first));
    rows.push(last);
    let heads = sizes.map(|t| format!("{} machines", short(Some(t.machines))));
    Ok(table(
        &[
            "role",
            "need over budget of",
            &heads[0],
            &heads[1],
            &heads[2],
        ],
        rows,
    ))
}

/// Points that a prediction rests on are no larger than this many machines.
pub const KNOWN_TO: u64 = 1_300;

/// Of the measures that needs rest on: the largest size along machines, foretold from those up to [`KNOWN_TO`], beside what was measured there; and runs with
/// several axes up together beside the sum of the slopes.
pub fn of_predictions(book: &Book, needs: &Needs) -> String {
    let used = |role: &str, measure: &String| {
        needs
            .needs
            .iter()
            .any(|n| n.role == role && (n.measures.contains(measure) || n.plus.contains(measure)))
    };
    let mut rows = Vec::new();
    let compared = |what: String, measure: &Row, from: usize, foretold: f64, file: &str| {
        let (figure, unit) = (measure.figure.median, &measure.figure.unit);
        let off = if figure > 0.0 {
            Some((foretold / figure - 1.0) * 100.0)
        } else {
            None
        };
        vec![
            measure.role.clone(),
            measure.figure.measure.clone(),
            what,
            from.to_string(),
            with_unit(Some(foretold), unit),
            with_unit(Some(figure), unit),
            off.map_or_else(|| "-".into(), |off| format!("{off:+.0}%")),
            file.to_owned(),
        ]
    };
    for (subject, along, curve) in book.curves().filter(|(s, _, _)| used(&s.role, &s.measure)) {
        let Some(last) = curve.rows.last().filter(|r| along.of(&r.at) > KNOWN_TO) else {
            continue;
        };
        match along {
            Axis::Machines => {
                let known = curve.rows.iter().filter(|r| r.at.machines <= KNOWN_TO);
                let known: Vec<(f64, f64)> = known
                    .map(|r| (r.at.machines as f64, r.figure.median))
                    .collect();
                let Some(slope) = Slope::fit(&known) else {
                    continue;
                };
                let foretold = slope.predict(last.at.machines as f64);
                let what = format!(
                    "{} machines, from at most {}",
                    short(Some(last.at.machines as f64)),
                    short(Some(KNOWN_TO as f64))
                );
                rows.push(compared(what, last, known.len(), foretold, &curve.file));
            }
            Axis::Together => {
                let Some(sum) = book.estimate(subject, &last.at) else {
                    continue;
                };
                let what = format!(
                    "{} machines, all axes up; from the sum of the slopes",
                    short(Some(last.at.machines as f64))
                );
                rows.push(compared(
                    what,
                    last,
                    sum.axes.len(),
                    sum.figure,
                    &curve.file,
                ));
            }
            _ => {}
        }
    }
    if rows.is_empty() {
        rows.push(none(8));
    }
    table(
        &[
            "role",
            "measure",
            "size",
            "points or slopes",
            "foretold",
            "measured",
            "error",
            "file",
        ],
        rows,
    )
}

/// Each curve that is not flat: exponent, spread, points, and the line of code where the exponent is over 1; then the flat
/// ones by name.
pub fn of_slopes(book: &Book, needs: &Needs) -> String {
    let (mut rows, mut flat, mut single) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
    // Several axes up together rise by different factors: no exponent says anything of them.
    for (subject, along, curve) in book
        .curves()
        .filter(|(_, along, _)| *along != Axis::Together)
    {
        let (Some(first), Some(last)) = (curve.rows.first(), curve.rows.last()) else {
            continue;
        };
        let (role, measure, unit) = (&subject.role, &subject.measure, &first.figure.unit);
        if curve.rows.len() == 1 {
            single.insert((role, measure), with_unit(Some(first.figure.median), unit));
            continue;
        }
        let is_flat = curve
            .slope
            .map_or(first.figure.median == last.figure.median, |s| {
                s.exponent.abs() < 0.05
            });
        if is_flat {
            let at: &mut Vec<String> = flat.entry((role, measure)).or_default();
            at.push(axis(along));
            continue;
        }
        let exponent = curve.slope.map_or("-".to_owned(), |s| {
            let error = if s.error.is_finite() {
                format!(" ± {:.2}", s.error)
            } else {
                String::new()
            };
            format!("{:.2}{error}", s.exponent)
        });
        // Two standard errors and a twentieth over 1 are no chance; two points alone have no error.
        let over = |s: Slope| s.exponent > 1.05 && s.exponent - 2.0 * s.error.max(0.0) > 1.0;
        let line = if curve.slope.is_some_and(over) {
            let known = needs
                .steep
                .iter()
                .find(|s| s.role == *role && s.measure == *measure && s.axis == along);
            known.map_or("over 1: line not known", |known| known.line.as_str())
        } else {
            ""
        };
        let basis = match first.figure.basis {
            Basis::Counted => "counted",
            Basis::Timed => "timed",
            Basis::Resident => "resident",
        };
        let (least, most) = curve.range(along);
        rows.push(vec![
            role.clone(),
            measure.clone(),
            axis(along),
            format!(
                "{} to {}",
                short(Some(least as f64)),
                short(Some(most as f64))
            ),
            with_unit(Some(first.figure.median), unit),
            with_unit(Some(last.figure.median), unit),
            exponent,
            format!("{:.0}%", curve.spread() * 100.0),
            curve.rows.len().to_string(),
            format!(
                "{basis}, {}",
                if subject.hollow { "hollow" } else { "real" }
            ),
            line.to_owned(),
        ]);
    }
    if rows.is_empty() {
        rows.push(none(11));
    }
    let head = [
        "role",
        "measure",
        "along",
        "sizes",
        "at the least",
        "at the largest",
        "exponent",
        "widest spread",
        "points",
        "basis",
        "line of code",
    ];
    let mut text = table(&head, rows);
    if !flat.is_empty() {
        let flat = flat
            .into_iter()
            .map(|((role, measure), along)| format!("{role} {measure} ({})", along.join(", ")));
        text += &format!(
            "\nFlat, exponent below 0.05 either way: {}.\n",
            flat.collect::<Vec<_>>().join("; ")
        );
    }
    if !single.is_empty() {
        let single = single
            .into_iter()
            .map(|((role, measure), figure)| format!("{role} {measure} {figure}"));
        text += &format!(
            "\nMeasured at one size alone: {}.\n",
            single.collect::<Vec<_>>().join("; ")
        );
    }
    text
}

/// Runs of real processes at the base's sizes, beside what the hollow slopes say of the same size.
pub fn of_both_ways(book: &Book, needs: &Needs) -> String {
    let mut rows = Vec::new();
    let real = book
        .sources
        .iter()
        .flat_map(|s| s.rows.iter().map(move |r| (r, s.name.as_str())));
    let real: Vec<(&Row, &str)> = real
        .filter(|(r, _)| !r.hollow && r.sweep == Axis::Together)
        .collect();
    for pair in &needs.pairs {
        let (Some(first), true) = (pair.real.first(), !pair.hollow.is_empty()) else {
            continue;
        };
        for (row, file) in real
            .iter()
            .filter(|(r, _)| r.role == pair.real_role && r.figure.measure == *first)
        {
            let also = |measure: &String| {
                let same =
                    |r: &Row| r.role == row.role && r.at == row.at && r.figure.measure == *measure;
                real.iter()
                    .find(|(r, f)| f == file && same(r))
                    .map(|(r, _)| r.figure.median)
            };
            let processes: Option<f64> = pair.real.iter().map(also).sum();
            let hollow = pair.hollow.iter().map(|measure| {
                let subject = book.subject(&pair.hollow_role, std::slice::from_ref(measure))?;
                book.estimate(&subject, &row.at)
                    .map(|e| e.figure * plain(&e.unit).0)
            });
            let hollow: Option<f64> = hollow.sum();
            let unit = &row.figure.unit;
            let hollow = hollow.map(|h| h / plain(unit).0);
            let off = hollow
                .zip(processes)
                .filter(|(h, _)| *h > 0.0)
                .map(|(h, p)| (p / h - 1.0) * 100.0);
            let at = &row.at;
            rows.push(vec![
                format!(
                    "{} machines, schedulers: {}",
                    short(Some(at.machines as f64)),
                    at.schedulers
                ),
                format!("{} {}", pair.hollow_role, pair.hollow.join(" + ")),
                with_unit(hollow, unit),
                format!("{} {}", pair.real_role, pair.real.join(" + ")),
                with_unit(processes, unit),
                off.map_or_else(|| "-".into(), |off| format!("{off:+.0}%")),
                (*file).to_owned(),
            ]);
        }
    }
    if rows.is_empty() {
        rows.push(none(7));
    }
    table(
        &[
            "size",
            "hollow measure",
            "hollow",
            "real measure",
            "real",
            "difference",
            "file",
        ],
        rows,
    )
}

/// The files and the commands that write them.
pub fn of_sources(book: &Book) -> String {
    let mut rows: Vec<Vec<String>> = book
        .sources
        .iter()
        .map(|source| {
            let roles: BTreeSet<&str> = source.rows.iter().map(|r| r.role.as_str()).collect();
            let axes: BTreeSet<Axis> = source.rows.iter().map(|r| r.sweep).collect();
            let every = crate::roles::ROLES.iter().all(|r| roles.contains(r.name));
            let only: String = roles.iter().map(|r| format!(" --role {r}")).collect();
            let quick = if source.name.contains("quick") {
                " --quick"
            } else {
                ""
            };
            vec![
                source.name.clone(),
                format!(
                    "`peppercove bench scale{quick}{} --out {}`",
                    if every { "" } else { &only },
                    source.name
                ),
                roles.into_iter().collect::<Vec<_>>().join(", "),
                axes.into_iter().map(axis).collect::<Vec<_>>().join(", "),
                source.rows.len().to_string(),
            ]
        })
        .collect();
    if rows.is_empty() {
        rows.push(none(5));
    }
    table(&["file", "command", "roles", "axes", "rows"], rows)
}
