//! The generated part of `docs/CAPACITY.md` and its charts.
//!
//! Tables stand between `<!-- generated: NAME -->` and `<!-- end -->`; the text around them is kept by hand. All come
//! from `bench/scale/target.json`, `bench/scale/needs.json` and the rows in `bench/scale/*.jsonl`. What has no rows is
//! `not measured`.

pub mod book;
pub mod need;
mod tables;
mod trouble;
pub mod words;

use crate::chart;
use crate::target::Target;
use anyhow::{Context, Result, bail, ensure};
use book::{Book, Source};
use need::{Needs, Worked};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The page, from the repository's root.
pub const PAGE: &str = "docs/CAPACITY.md";
/// Where the charts stand.
pub const CHARTS: &str = "docs/capacity";
/// Where rows, target and needs stand.
pub const FIGURES: &str = "bench/scale";

/// What the page is made of.
#[derive(Clone, Debug)]
pub struct Inputs {
    /// The operators' target.
    pub target: Target,
    /// What the roles need.
    pub needs: Needs,
    /// The rows.
    pub book: Book,
}

/// A file's text.
fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).with_context(|| path.display().to_string())
}

impl Inputs {
    /// Reads them under a repository's root; rows from the files named, or all of `bench/scale/*.jsonl` where none is.
    ///
    /// # Errors
    /// Names the file that cannot be read or makes no sense.
    pub fn read(root: &Path, rows: &[PathBuf]) -> Result<Inputs> {
        let figures = root.join(FIGURES);
        let rows = if rows.is_empty() {
            all_rows(&figures)?
        } else {
            rows.to_vec()
        };
        let sources = rows.iter().map(|path| {
            let name = path
                .strip_prefix(root)
                .unwrap_or(path)
                .display()
                .to_string();
            Source::parse(&name, &read(path)?)
        });
        Ok(Inputs {
            target: Target::parse(&read(&figures.join("target.json"))?)?,
            needs: Needs::parse(&read(&figures.join("needs.json"))?)?,
            book: Book::new(sources.collect::<Result<_>>()?),
        })
    }

    /// All needs at the target's size.
    ///
    /// # Errors
    /// As [`Worked::out`].
    pub fn worked(&self) -> Result<Vec<Worked>> {
        Worked::all(&self.needs, &self.book, &self.target)
    }

    /// Each table by its name.
    ///
    /// # Errors
    /// Where a unit or a template makes no sense.
    pub fn tables(&self) -> Result<Vec<(&'static str, String)>> {
        let Inputs {
            target,
            needs,
            book,
        } = self;
        let worked = self.worked()?;
        Ok(vec![
            ("ranking", tables::of_ranking(&worked, needs, target)),
            ("roles", tables::of_roles(needs, target)),
            ("needs", tables::of_needs(&worked, target)),
            ("together", tables::together(&worked, target)),
            ("target", tables::of_lines(&worked, needs, target)?),
            ("absent", tables::of_absent(needs, target)?),
            ("assumptions", tables::of_assumptions(needs, book, target)?),
            ("trouble", trouble::of_trouble(&worked, needs, target)),
            ("sizes", tables::of_sizes(needs, book, target)?),
            ("predictions", tables::of_predictions(book, needs)),
            ("both-ways", tables::of_both_ways(book, needs)),
            ("slopes", tables::of_slopes(book, needs)),
            ("charts", self.chart_list()?),
            ("sources", tables::of_sources(book)),
        ])
    }

    /// Each chart by its file's name, for the roles with a need that was measured and has a budget.
    ///
    /// # Errors
    /// Where a chart cannot be drawn.
    pub fn charts(&self) -> Result<Vec<(String, String)>> {
        let mut charts = Vec::new();
        for role in tables::roles(&self.needs) {
            if let Some(svg) = chart::draw(role, &self.needs, &self.book, &self.target)? {
                charts.push((format!("{role}.svg"), svg));
            }
        }
        Ok(charts)
    }

    fn chart_list(&self) -> Result<String> {
        let charts = self.charts()?;
        if charts.is_empty() {
            return Ok("not measured\n".into());
        }
        let dir = CHARTS.strip_prefix("docs/").unwrap_or(CHARTS);
        let image = |(name, _): &(String, String)| {
            format!("![{}]({dir}/{name})\n", name.trim_end_matches(".svg"))
        };
        Ok(charts.iter().map(image).collect::<Vec<_>>().join("\n"))
    }
}

fn all_rows(figures: &Path) -> Result<Vec<PathBuf>> {
    let mut rows = Vec::new();
    for entry in fs::read_dir(figures).with_context(|| figures.display().to_string())? {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "jsonl") {
            rows.push(path);
        }
    }
    rows.sort();
    Ok(rows)
}

/// A page with its tables put between their markers.
///
/// # Errors
/// Names a marker that no table has, that has no end or stands twice, and a table that has no marker.
pub fn fill(page: &str, tables: &[(&str, String)]) -> Result<String> {
    const START: &str = "<!-- generated: ";
    const END: &str = "<!-- end -->";
    let (mut filled, mut left) = (String::new(), page);
    let mut seen = BTreeSet::new();
    while let Some(start) = left.find(START) {
        let after = &left[start + START.len()..];
        let (name, after) = after
            .split_once(" -->\n")
            .context("a marker of a table does not end")?;
        let (_, table) = tables
            .iter()
            .find(|(n, _)| *n == name)
            .with_context(|| format!("no table {name}"))?;
        ensure!(seen.insert(name), "the table {name} has two places");
        let end = after
            .find(END)
            .with_context(|| format!("the table {name} has no end"))?;
        ensure!(!after[..end].contains(START), "the table {name} has no end");
        filled += &format!("{}{START}{name} -->\n\n{table}\n{END}", &left[..start]);
        left = &after[end + END.len()..];
    }
    for (name, _) in tables {
        ensure!(
            seen.contains(name),
            "the page has no place for the table {name}"
        );
    }
    Ok(filled + left)
}

/// Each file that the figures make: its path under the root, and its text.
///
/// # Errors
/// As [`Inputs::tables`] and [`fill`].
pub fn made(root: &Path, inputs: &Inputs) -> Result<Vec<(PathBuf, String)>> {
    let page = fill(&read(&root.join(PAGE))?, &inputs.tables()?).context(PAGE)?;
    let mut made = vec![(PathBuf::from(PAGE), page)];
    made.extend(
        inputs
            .charts()?
            .into_iter()
            .map(|(name, svg)| (Path::new(CHARTS).join(name), svg)),
    );
    Ok(made)
}

/// What differs between the stored page and charts and what the figures make; charts that nothing makes differ too.
///
/// # Errors
/// As [`made`].
pub fn differing(root: &Path, inputs: &Inputs) -> Result<Vec<String>> {
    let made = made(root, inputs)?;
    let stored = |path: &Path| fs::read_to_string(root.join(path)).unwrap_or_default();
    let mut differing: Vec<PathBuf> = made
        .iter()
        .filter(|(path, text)| stored(path) != *text)
        .map(|(path, _)| path.clone())
        .collect();
    if let Ok(dir) = fs::read_dir(root.join(CHARTS)) {
        for entry in dir {
            let path = Path::new(CHARTS).join(entry?.file_name());
            if path.extension().is_some_and(|e| e == "svg") && made.iter().all(|(m, _)| *m != path)
            {
                differing.push(path);
            }
        }
    }
    Ok(differing
        .iter()
        .map(|path| path.display().to_string())
        .collect())
}

/// Writes page and charts, and takes away charts that nothing makes.
///
/// # Errors
/// As [`made`], or where a file cannot be written.
pub fn write(root: &Path, inputs: &Inputs) -> Result<()> {
    let made = made(root, inputs)?;
    for stale in differing(root, inputs)? {
        if made
            .iter()
            .all(|(path, _)| path.display().to_string() != stale)
        {
            fs::remove_file(root.join(&stale)).context(stale)?;
        }
    }
    fs::create_dir_all(root.join(CHARTS))?;
    for (path, text) in made {
        fs::write(root.join(&path), text).with_context(|| path.display().to_string())?;
    }
    Ok(())
}

/// Checks or writes.
///
/// # Errors
/// Names what differs, where it only checks.
pub fn run(root: &Path, rows: &[PathBuf], check: bool) -> Result<()> {
    let inputs = Inputs::read(root, rows)?;
    if !check {
        return write(root, &inputs);
    }
    let differing = differing(root, &inputs)?;
    if !differing.is_empty() {
        bail!(
            "not what the figures make: {}; `peppercove bench capacity` writes them anew",
            differing.join(", ")
        );
    }
    Ok(())
}
