//! Daemon settings and the document that operators publish.
//!
//! Both are INI files. Parsing reports all errors with their lines; a file with any error is
//! rejected as a whole. See [the document reference](../../../docs/document.md).

mod alert;
pub mod diff;
pub mod document;
mod error;
mod ini;
pub mod instances;
pub mod keys;
pub mod model;
pub mod packed;
mod render;
mod section_fields;
pub mod settings;
mod settings_parser;
pub mod status;

pub use error::{Error, Problem, Problems, Result};
pub use instances::ListedInstance;
pub use model::Document;
pub use settings::Settings;
