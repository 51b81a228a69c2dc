//! Command `pollenpin pack`.

use std::fs;
use std::path::{Path, PathBuf};

use conf::packed;
use serde::Serialize;

use crate::read_document;
use crate::report::{Error, ExitStatus, Report, Result};
use crate::table::Table;

#[derive(Debug, Serialize)]
struct Summary {
    version: u64,
    root_hash: String,
    root_bytes: usize,
    values: usize,
    value_bytes: usize,
    new_values: usize,
}

/// Writes the values of a document to the directory `out`.
pub fn run(file: &Path, out: &Path, pages: Option<u16>) -> Result<Report> {
    let document = read_document(file)?;
    let packed = packed::pack(&document, pages.map(usize::from))?;
    let parts = out.join("part");
    with_path(&parts, fs::create_dir_all(&parts))?;
    let mut new_values = 0;
    for (hash, text) in &packed.values {
        let path = parts.join(hash.to_string());
        if fs::read(&path).is_ok_and(|held| held == text.as_bytes()) {
            continue;
        }
        new_values += 1;
        write_atomically(&path, text)?;
    }
    // The root is written last: it becomes valid only when all its parts can be read.
    write_atomically(&out.join("root"), &packed.root)?;
    let summary = Summary {
        version: document.version.0,
        root_hash: packed.root_hash.to_string(),
        root_bytes: packed.root.len(),
        values: packed.values.len(),
        value_bytes: packed.values.values().map(String::len).sum(),
        new_values,
    };
    let mut table = Table::new(&["VERSION", "ROOT", "ROOT BYTES", "VALUES", "BYTES", "NEW"]);
    table.add_row(&[
        &summary.version,
        &summary.root_hash,
        &summary.root_bytes,
        &summary.values,
        &summary.value_bytes,
        &summary.new_values,
    ]);
    Report::new(table.render(), &summary, ExitStatus::Success)
}

/// Writes a file under a temporary name and renames it, so that readers never see a partial file.
fn write_atomically(path: &PathBuf, text: &str) -> Result<()> {
    let temporary = path.with_extension("new");
    with_path(&temporary, fs::write(&temporary, text))?;
    with_path(path, fs::rename(&temporary, path))
}

/// Adds the path to a failed write.
fn with_path(path: &Path, outcome: std::io::Result<()>) -> Result<()> {
    outcome.map_err(|source| Error::Write {
        file: path.display().to_string(),
        source,
    })
}
