//! The page against its figures, and the arithmetic behind it. Rows in here are made up.

use peppercove_scale::page::book::{Book, Source};
use peppercove_scale::page::need::{Budget, Needs, Worked, ranked};
use peppercove_scale::page::words::{short, table, with_unit};
use peppercove_scale::page::{self, Inputs, PAGE, fill};
use peppercove_scale::row::{At, Axis, Basis, Measure, Row};
use peppercove_scale::slope::Slope;
use peppercove_scale::target::{Assumed, Target};
use std::fs;
use std::path::Path;

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn stored() -> Inputs {
    Inputs::read(root(), &[]).expect("target, needs and rows are read")
}

fn target() -> Target {
    stored().target
}

fn row(role: &str, sweep: Axis, at: At, measure: &str, unit: &str, figure: f64) -> Row {
    Row {
        role: role.into(),
        sweep,
        at,
        hollow: true,
        figure: Measure::counted(measure, unit, figure),
    }
}

/// A made-up sweep of a role.
fn sweep(role: &str, axis: Axis, measure: &str, unit: &str, points: &[(u64, f64)]) -> Vec<Row> {
    points
        .iter()
        .map(|&(size, figure)| row(role, axis, axis.at(size), measure, unit, figure))
        .collect()
}

fn book(rows: Vec<Row>) -> Book {
    Book::new(vec![Source {
        name: "made-up.jsonl".into(),
        rows,
    }])
}

fn worked_out(rows: Vec<Row>) -> Vec<Worked> {
    Worked::all(&stored().needs, &book(rows), &target()).expect("units agree")
}

fn find<'a>(worked: &'a [Worked], name: &str) -> &'a Worked {
    worked
        .iter()
        .find(|w| w.need.name == name)
        .expect("the need is there")
}

fn table_of(rows: Vec<Row>, name: &str) -> String {
    let inputs = Inputs {
        book: book(rows),
        ..stored()
    };
    let tables = inputs.tables().expect("tables");
    tables
        .into_iter()
        .find(|(n, _)| *n == name)
        .expect("the table is there")
        .1
}

#[test]
fn the_page_is_what_the_stored_figures_make() {
    let differing = page::differing(root(), &stored()).expect("the page is made");
    assert!(
        differing.is_empty(),
        "{differing:?} differ: run `peppercove bench capacity`"
    );
}

#[test]
fn another_figure_makes_another_page() {
    let rows = sweep(
        "module",
        Axis::Machines,
        "bind_time",
        "us",
        &[(400, 77.7), (13_000, 777.0)],
    );
    let differing = page::differing(
        root(),
        &Inputs {
            book: book(rows),
            ..stored()
        },
    )
    .expect("the page is made");
    assert!(differing.contains(&PAGE.to_owned()), "{differing:?}");
}

#[test]
fn page_and_charts_are_written_and_checked() {
    let copy = Path::new(env!("CARGO_TARGET_TMPDIR")).join("capacity");
    if copy.exists() {
        fs::remove_dir_all(&copy).expect("what an earlier run left");
    }
    for dir in ["bench/scale", "docs/capacity"] {
        fs::create_dir_all(copy.join(dir)).expect("a directory");
    }
    for file in ["bench/scale/target.json", "bench/scale/needs.json", PAGE] {
        fs::copy(root().join(file), copy.join(file)).expect("a copy");
    }
    let rows = sweep(
        "module",
        Axis::Machines,
        "bind_time",
        "us",
        &[(400, 77.7), (13_000, 777.0)],
    );
    let rows: Vec<String> = rows
        .iter()
        .map(|r| serde_json::to_string(r).expect("a row"))
        .collect();
    fs::write(copy.join("bench/scale/made-up.jsonl"), rows.join("\n")).expect("rows");
    fs::write(copy.join("docs/capacity/stale.svg"), "<svg/>").expect("a chart of nothing");
    let checked = || page::run(&copy, &[], true).map_err(|e| e.to_string());
    assert!(
        checked().is_err_and(|e| e.contains(PAGE)
            && e.contains("module.svg")
            && e.contains("stale.svg"))
    );
    page::run(&copy, &[], false).expect("written");
    assert_eq!(checked(), Ok(()));
    assert!(!copy.join("docs/capacity/stale.svg").exists());
    let svg = fs::read_to_string(copy.join("docs/capacity/module.svg")).expect("the chart");
    assert!(
        svg.contains("binds, the module alone") && svg.contains("budget"),
        "{svg}"
    );
    let page = fs::read_to_string(copy.join(PAGE)).expect("the page");
    assert!(page.contains("(capacity/module.svg)") && page.contains("| 777 us |"));
    fs::write(copy.join(PAGE), page.replace("| 777 us |", "| 7 us |")).expect("a page that lies");
    assert!(checked().is_err_and(|e| e.contains(PAGE)));
}

#[test]
fn a_power_law_is_found_and_continued() {
    let law = |x: f64| (x, 3.0 * x.powf(1.5));
    let slope = Slope::fit(&[100.0, 400.0, 1300.0].map(law)).expect("three points");
    assert!(
        (slope.exponent - 1.5).abs() < 1e-9 && slope.error < 1e-6,
        "{slope:?}"
    );
    assert!((slope.predict(13_000.0) / law(13_000.0).1 - 1.0).abs() < 1e-9);
    let noisy = Slope::fit(&[(1.0, 1.0), (10.0, 11.0), (100.0, 90.0)]).expect("three points");
    assert!(
        noisy.error > 0.01 && (noisy.exponent - 1.0).abs() < 3.0 * noisy.error,
        "{noisy:?}"
    );
    assert_eq!(
        Slope::fit(&[(10.0, 1.0), (10.0, 2.0)]),
        None,
        "one size has no slope"
    );
}

#[test]
fn between_points_and_beyond_them() {
    let points = [(100, 10.0), (1_000, 100.0), (10_000, 1_000.0)];
    let book = book(sweep("module", Axis::Machines, "bind_time", "us", &points));
    let (_, axis, curve) = book.curves().next().expect("a curve");
    for (size, figure) in [
        (10.0, 1.0),
        (100.0, 10.0),
        (300.0, 30.0),
        (10_000.0, 1_000.0),
        (130_000.0, 13_000.0),
    ] {
        assert!(
            (curve.at(axis, size) / figure - 1.0).abs() < 1e-9,
            "{size}: {}",
            curve.at(axis, size)
        );
    }
}

#[test]
fn zeros_and_a_single_point_say_what_they_can() {
    let zeros = book(sweep(
        "serve",
        Axis::Machines,
        "x",
        "bytes",
        &[(100, 0.0), (300, 4.0)],
    ));
    let (_, axis, curve) = zeros.curves().next().expect("a curve");
    assert_eq!(curve.at(axis, 200.0), 2.0);
    let single = book(sweep("serve", Axis::Machines, "x", "bytes", &[(100, 7.0)]));
    let (_, axis, curve) = single.curves().next().expect("a curve");
    assert_eq!(
        [10.0, 100.0, 1_000.0].map(|size| curve.at(axis, size)),
        [7.0; 3]
    );
}

#[test]
fn slopes_add_up() {
    let cost = |at: &At| 5.0 + 2.0 * at.machines as f64 + 3.0 * at.standing as f64;
    let along = |axis: Axis, sizes: [u64; 3]| {
        sizes.map(|size| {
            row(
                "serve",
                axis,
                axis.at(size),
                "resident",
                "bytes",
                cost(&axis.at(size)),
            )
        })
    };
    let mut rows = along(Axis::Machines, [400, 2_000, 13_000]).to_vec();
    rows.extend(along(Axis::Standing, [100, 2_000, 57_000]));
    let book = book(rows);
    let subject = book
        .subject("serve", &["none".into(), "resident".into()])
        .expect("the second has rows");
    let at = At {
        machines: 13_000,
        standing: 57_000,
        ..At::BASE
    };
    let sum = book.estimate(&subject, &at).expect("an estimate");
    assert!((sum.figure / cost(&at) - 1.0).abs() < 1e-9, "{sum:?}");
    assert!(sum.outside.is_empty());
    let far = At {
        machines: 130_000,
        ..at
    };
    assert_eq!(
        book.estimate(&subject, &far).expect("an estimate").outside,
        [Axis::Machines]
    );
}

#[test]
fn an_axis_along_which_a_time_does_not_grow_adds_nothing() {
    let timed = |axis: Axis, points: &[(u64, f64)]| {
        let mut rows = sweep("module", axis, "bind_time", "us", points);
        rows.iter_mut().for_each(|r| r.figure.basis = Basis::Timed);
        rows
    };
    let at = At {
        machines: 13_000,
        tenants: 530,
        ..At::BASE
    };
    let figure = |tenants: &[(u64, f64)]| {
        let mut rows = timed(
            Axis::Machines,
            &[(400, 100.0), (1_300, 330.0), (13_000, 3_000.0)],
        );
        rows.extend(timed(Axis::Tenants, tenants));
        let book = book(rows);
        let subject = book.subject("module", &["bind_time".into()]).expect("rows");
        book.estimate(&subject, &at).expect("an estimate").figure
    };
    let cases = [
        (
            [(10, 900.0), (70, 100.0), (530, 90.0)],
            3_000.0,
            "the first point was disturbed",
        ),
        ([(10, 100.0), (70, 120.0), (530, 101.0)], 3_000.0, "noise"),
        (
            [(10, 100.0), (70, 200.0), (530, 410.0)],
            3_310.0,
            "it grows",
        ),
    ];
    for (tenants, wanted, why) in cases {
        assert!(
            (figure(&tenants) - wanted).abs() < 1e-6,
            "{why}: {}",
            figure(&tenants)
        );
    }
}

#[test]
fn messages_both_ways_are_added() {
    let of = |measure| {
        sweep(
            "serve",
            Axis::Machines,
            measure,
            "bytes",
            &[(400, 100.0), (13_000, 100.0)],
        )
    };
    let ways = [
        "owner_in_bytes",
        "owner_out_bytes",
        "host_out_bytes",
        "host_in_bytes",
    ];
    let some = worked_out(ways[..3].iter().flat_map(|way| of(way)).collect());
    assert!(
        find(&some, "messages of starts").ratio.is_none(),
        "one way was not measured"
    );
    let all = worked_out(ways.iter().flat_map(|way| of(way)).collect());
    let ratio = find(&all, "messages of starts").ratio.expect("measured");
    assert!((ratio - 400.0 * 32.5 / 12_000.0).abs() < 1e-9, "{ratio}");
}

#[test]
fn the_furthest_reaching_file_counts() {
    let of = |points: &[(u64, f64)]| sweep("module", Axis::Machines, "bind_time", "us", points);
    let far = Source {
        name: "a.jsonl".into(),
        rows: of(&[(400, 1.0), (13_000, 2.0)]),
    };
    let near = Source {
        name: "b.jsonl".into(),
        rows: of(&[(400, 5.0), (800, 6.0), (1_300, 7.0)]),
    };
    let book = Book::new(vec![near, far]);
    let files: Vec<&str> = book.curves().map(|(_, _, c)| c.file.as_str()).collect();
    assert_eq!(files, ["a.jsonl"]);
}

#[test]
fn a_need_is_held_against_its_budget() {
    let rows = sweep(
        "module",
        Axis::Machines,
        "bind_time",
        "us",
        &[(400, 100.0), (13_000, 1_000.0)],
    );
    let worked = worked_out(rows);
    let target = target();
    let cores = target.starts_a_second / target.taken(Assumed::Schedulers) * 1e-3;
    let binds = find(&worked, "binds, the module alone");
    assert!(
        (binds.ratio.expect("measured") - cores / target.core_share).abs() < 1e-9,
        "{binds:?}"
    );
    let waiting = find(&worked, "one bind, the module alone")
        .ratio
        .expect("measured");
    assert!((waiting - 1e-3 / target.urgent_start_s).abs() < 1e-12);
}

#[test]
fn the_ranking_begins_with_the_largest() {
    let mut rows = sweep(
        "module",
        Axis::Machines,
        "bind_time",
        "us",
        &[(400, 100.0), (13_000, 1_000.0)],
    );
    rows.extend(sweep(
        "module",
        Axis::Machines,
        "resident",
        "bytes",
        &[(400, 1e6), (13_000, 32e6)],
    ));
    rows.extend(sweep(
        "serve",
        Axis::Machines,
        "descriptors",
        "count",
        &[(400, 1e3), (13_000, 1e7)],
    ));
    let worked = worked_out(rows);
    let ranked: Vec<(&str, f64)> = ranked(&worked)
        .iter()
        .map(|w| (w.need.name.as_str(), w.ratio.expect("ranked")))
        .collect();
    assert_eq!(ranked[0].0, "descriptors of owners and hosts with tasks");
    assert!(
        ranked.windows(2).all(|pair| pair[0].1 >= pair[1].1),
        "{ranked:?}"
    );
    assert!(
        ranked
            .iter()
            .any(|(name, ratio)| *name == "memory, the module alone" && (ratio - 0.5).abs() < 1e-9)
    );
    assert!(
        worked
            .iter()
            .filter(|w| w.need.budget == Budget::None)
            .all(|w| w.ratio.is_none())
    );
}

#[test]
fn what_has_no_rows_is_not_measured() {
    let inputs = Inputs {
        book: Book::default(),
        ..stored()
    };
    assert!(inputs.charts().expect("no charts").is_empty());
    for (name, text) in inputs.tables().expect("tables without a row") {
        let said =
            text.contains("not measured") || text.contains("no measured need") || name == "roles";
        assert!(said && !text.contains("NaN"), "{name}: {text}");
    }
}

#[test]
fn a_measure_that_nobody_asked_for_is_in_the_slopes() {
    let rows = sweep(
        "newcomer",
        Axis::Tenants,
        "odd_measure",
        "widgets",
        &[(10, 1.0), (530, 400.0)],
    );
    let slopes = table_of(rows, "slopes");
    let wanted =
        "| newcomer | odd_measure | tenants | 10 to 530 | 1 widgets | 400 widgets | 1.51 |";
    assert!(
        slopes.contains(wanted) && slopes.contains("line not known"),
        "{slopes}"
    );
}

#[test]
fn the_prediction_is_held_against_the_largest_size() {
    let points = [(400, 4.0), (1_200, 12.0), (13_000, 260.0)];
    let predictions = table_of(
        sweep("module", Axis::Machines, "bind_time", "us", &points),
        "predictions",
    );
    assert!(
        predictions.contains("| 2 | 130 us | 260 us | -50% |"),
        "{predictions}"
    );
}

#[test]
fn real_processes_are_held_against_hollow_ones() {
    let mut rows = sweep(
        "serve",
        Axis::Schedulers,
        "start_time",
        "us",
        &[(16, 100.0), (512, 100.0)],
    );
    let mut real = row(
        "processes",
        Axis::Together,
        At::BASE,
        "start_processor_time",
        "us",
        250.0,
    );
    real.hollow = false;
    rows.push(real);
    let both = table_of(rows, "both-ways");
    let wanted = "| serve start_time | 100 us | processes start_processor_time | 250 us | +150% |";
    assert!(both.contains(wanted), "{both}");
}

#[test]
fn a_unit_that_says_nothing_of_the_budget_is_an_error() {
    let rows = sweep(
        "module",
        Axis::Machines,
        "bind_time",
        "bytes",
        &[(400, 1.0), (13_000, 1.0)],
    );
    let error =
        Worked::all(&stored().needs, &book(rows), &target()).expect_err("bytes are no time");
    assert!(
        error
            .to_string()
            .contains("bind_time of module is in bytes"),
        "{error}"
    );
}

#[test]
fn tables_go_between_their_markers() {
    let tables = [("one", "| a |\n".to_owned())];
    let page = "before\n<!-- generated: one -->\nold\n<!-- end -->\nafter\n";
    let filled = fill(page, &tables).expect("filled");
    assert_eq!(
        filled,
        "before\n<!-- generated: one -->\n\n| a |\n\n<!-- end -->\nafter\n"
    );
    assert_eq!(fill(&filled, &tables).expect("filled again"), filled);
    let twice = page.repeat(2);
    let bad = [
        ("before", "no place for the table one"),
        ("<!-- generated: two -->\n<!-- end -->", "no table two"),
        ("<!-- generated: one -->\n", "has no end"),
        ("<!-- generated: one", "does not end"),
        (&twice, "two places"),
    ];
    for (page, wanted) in bad {
        let error = fill(page, &tables).expect_err(page);
        assert!(error.to_string().contains(wanted), "{page}: {error}");
    }
}

#[test]
fn bad_files_are_named() {
    let good = serde_json::to_string(&row("module", Axis::Machines, At::BASE, "x", "us", 1.0))
        .expect("a row");
    assert_eq!(
        Source::parse("x.jsonl", &format!("{good}\n\n{good}\n"))
            .expect("two rows")
            .rows
            .len(),
        2
    );
    let error =
        Source::parse("x.jsonl", &format!("{good}\n{{\"role\": 1}}\n")).expect_err("no row");
    assert!(error.to_string().contains("x.jsonl:2"), "{error}");
    let below = good.replace("\"median\":1.0", "\"median\":-1.0");
    let error = Source::parse("x.jsonl", &below).expect_err("below zero");
    assert!(error.to_string().contains("x.jsonl:1"), "{error}");

    let text = fs::read_to_string(root().join("bench/scale/target.json")).expect("the target");
    for (from, to, wanted) in [
        ("\"taken\": 400,", "\"taken\": 0,", "schedulers is 0"),
        (
            "\"name\": \"classes\"",
            "\"name\": \"schedulers\"",
            "assumed 2 times",
        ),
        ("\"gang\": 128", "\"gang\": -128", "gang is -128"),
        ("\"gang\": 128", "\"gong\": 128", "the target"),
    ] {
        assert!(text.contains(from), "{from}");
        let error = Target::parse(&text.replace(from, to)).expect_err(to);
        assert!(error.to_string().contains(wanted), "{to}: {error}");
    }
    let text = fs::read_to_string(root().join("bench/scale/needs.json")).expect("the needs");
    let error =
        Needs::parse(&text.replace("\"start\": \"a whole start", "\"start\": \"a half start"))
            .expect_err("no such need");
    assert!(
        error.to_string().contains("no need a half start"),
        "{error}"
    );
}

#[test]
fn places_in_the_code_are_there() {
    let needs = stored().needs;
    let steep = needs
        .steep
        .iter()
        .map(|s| s.line.split(',').next().unwrap_or_default());
    for place in needs
        .needs
        .iter()
        .map(|n| n.place.as_str())
        .filter(|p| !p.is_empty())
        .chain(steep)
    {
        let (file, name) = place.split_once(": ").expect("file and name");
        let text = fs::read_to_string(root().join(file)).unwrap_or_else(|e| panic!("{file}: {e}"));
        assert!(text.contains(name), "{file} has no {name}");
    }
}

#[test]
fn open_questions_are_put_to_the_operators() {
    let questions = fs::read_to_string(root().join("docs/questions.md")).expect("the questions");
    for assumption in &target().assumptions {
        let row = format!(
            "| {} | {}: {} |",
            assumption.question,
            short(Some(assumption.taken)),
            assumption.why
        );
        assert!(questions.contains(&row), "docs/questions.md lacks\n{row}");
    }
}

#[test]
fn figures_are_written_with_three_digits() {
    let written = [
        0.0,
        0.001_234,
        0.999_9,
        1.0,
        12.345,
        999.6,
        1_024.0,
        1_024.5,
        1_234_567.0,
    ]
    .map(|f| short(Some(f)));
    assert_eq!(
        written,
        [
            "0",
            "0.00123",
            "1",
            "1",
            "12.3",
            "1,000",
            "1,024",
            "1,020",
            "1,230,000"
        ]
    );
    assert_eq!(
        [1e-6, 9.9e-7, 1e-310].map(|f| short(Some(f))),
        ["0.000001", "under 0.000001", "under 0.000001"]
    );
    assert_eq!(
        [None, Some(f64::NAN), Some(f64::INFINITY)].map(short),
        ["not measured"; 3]
    );
    assert_eq!(with_unit(Some(1_500.0), "us"), "1.5 ms");
    assert_eq!(with_unit(Some(64e6), "bytes"), "64 MB");
    assert_eq!(with_unit(Some(0.014), "cores"), "1.4% of a core");
    assert_eq!(with_unit(Some(12e3), "bytes/s"), "12 kB/s");
    assert_eq!(
        table(&["a"], vec![vec!["b|c\nd".into()]]),
        "| a |\n| --- |\n| b\\|c d |\n"
    );
}

#[test]
fn half_and_ten_times() {
    let target = target();
    let ten = target.scaled(10.0);
    let schedulers = target.taken(Assumed::Schedulers);
    assert_eq!(
        (ten.machines, ten.taken(Assumed::Schedulers)),
        (target.machines * 10.0, schedulers * 10.0)
    );
    assert_eq!(
        (ten.core_share, ten.in_force_s, ten.zones),
        (target.core_share, target.in_force_s, target.zones)
    );
    let half = target.with(Assumed::Schedulers, schedulers / 2.0);
    assert_eq!(
        (target.at().starts, half.at().starts),
        (33, 65),
        "32.5 and 65"
    );
}
