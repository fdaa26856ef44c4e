use thiserror::Error;

/// The first error in a document of settings or configuration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {field}: {detail}")]
pub struct CheckError {
    /// The path of the field, such as `listen.link`; `document` for a syntax error.
    pub field: String,
    /// The line number, starting at 1.
    pub line: usize,
    /// What is wrong and which value is expected.
    pub detail: String,
}
