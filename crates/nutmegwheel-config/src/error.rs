use thiserror::Error;

/// Why a document was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {field}: {detail}")]
pub struct CheckError {
    /// The field's path, such as `listen.link`; `document` for a fault in the syntax.
    pub field: String,
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong and what would be right.
    pub detail: String,
}
