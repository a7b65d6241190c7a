//! Use of the journal by the server: recovery at the start, a write before each dispatch, and compaction.

use super::{Core, Journal, JournalEntry, Micros, Server, StartError, SubsetScheduler};
use peppercove_config::Config;

/// Opens the configured journal, if any, and recovers the core from it. Also returns the entries.
pub(super) fn recover(
    config: &Config,
    core: &mut Core<SubsetScheduler>,
    now: Micros,
) -> Result<(Option<Journal>, Vec<JournalEntry>), StartError> {
    let Some(path) = &config.journal_path else {
        return Ok((None, Vec::new()));
    };
    let journal_error = |source| StartError::Journal {
        path: path.clone(),
        source,
    };
    let (mut journal, entries) =
        Journal::open(path, &config.name, config.journal_sync).map_err(journal_error)?;
    core.recover(now, &entries);
    // Resolved entries are left out of the new file.
    journal.replace(&core.snapshot()).map_err(journal_error)?;
    let ambiguous = core.ambiguous_tasks();
    tracing::info!(entries = entries.len(), ambiguous, "journal read");
    Ok((Some(journal), entries))
}

impl Server {
    /// Writes entries to the journal. If the write fails, the journal is no longer intact.
    pub(super) fn write_journal(&self, entries: &[JournalEntry]) {
        let Some(journal) = &self.journal else {
            return;
        };
        if let Err(error) = journal.borrow_mut().write(entries) {
            tracing::error!(%error, "the journal cannot be written: nothing is dispatched until it can");
        }
    }

    /// Whether every entry so far has been written to the journal.
    ///
    /// Invariant: while this is `false`, nothing is sent that the next incarnation would have to account for.
    pub(crate) fn is_journal_intact(&self) -> bool {
        self.journal
            .as_ref()
            .is_none_or(|journal| journal.borrow().is_intact())
    }

    /// Compacts the journal if it has grown, and rewrites it if the last write failed.
    pub(super) fn maintain_journal(&self) {
        let Some(journal) = &self.journal else {
            return;
        };
        let mut journal = journal.borrow_mut();
        if journal.is_intact() && !journal.needs_compaction() {
            return;
        }
        let snapshot = self.core.borrow().snapshot();
        if let Err(error) = journal.replace(&snapshot) {
            tracing::error!(%error, "cannot rewrite the journal");
        }
    }
}
