//! Reads the settings of a controller.

use anyhow::{Context, Result, bail};
use peppercove_config::{Config, embedded_default};
use std::path::Path;

/// The settings embedded in the program.
pub fn default_config() -> Result<Config> {
    Config::parse(embedded_default()).context("embedded default")
}

/// The settings of a file, or the embedded ones if no file is given.
pub fn config_or_default(file: Option<&Path>) -> Result<Config> {
    match file {
        Some(file) => read_config(file),
        None => default_config(),
    }
}

/// Reads settings; the error lists every invalid element with the file name and its position.
pub fn read_config(file: &Path) -> Result<Config> {
    read_config_with(file, &[])
}

/// Like [`read_config`], with some settings overridden; `values` holds the path of each setting and its value.
pub fn read_config_with(file: &Path, values: &[(String, String)]) -> Result<Config> {
    let text = read_text(file)?;
    Config::parse_with_overrides(&text, values).or_else(|error| {
        let problems = error
            .problems
            .iter()
            .map(|problem| format!("{}:{problem}", file.display()));
        let problems: Vec<String> = problems.collect();
        bail!("settings are not valid\n{}", problems.join("\n"))
    })
}

/// The content of a text file; the error names the file.
pub fn read_text(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))
}
