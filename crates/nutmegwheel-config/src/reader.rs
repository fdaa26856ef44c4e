//! Reads a document in JSON with comments field by field and reports errors with line and field.

use std::{collections::HashSet, fmt::Display, ops::RangeInclusive, str::FromStr};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value},
    common::Ranged,
    parse_to_ast,
};

use crate::CheckError;

/// The maximum length in bytes of the name of a service, endpoint, class, workspace, data centre
/// or process.
const MAX_NAME_LEN: usize = 64;
/// The maximum number of fields of an object. It bounds the time that a check takes.
const MAX_FIELDS: usize = 65_536;

const STRICT: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses `text` and passes the top-level object to `read`.
pub(crate) fn document<T>(
    text: &str,
    read: impl FnOnce(Table<'_>) -> Result<T, CheckError>,
) -> Result<T, CheckError> {
    let parsed =
        parse_to_ast(text, &CollectOptions::default(), &STRICT).map_err(|e| CheckError {
            field: "document".into(),
            line: e.line_display(),
            detail: e.kind().to_string(),
        })?;
    let Some(value) = &parsed.value else {
        return Err(CheckError {
            field: "document".into(),
            line: 1,
            detail: "is empty".into(),
        });
    };
    let root = Field {
        text,
        path: String::new(),
        value,
    };
    read(root.table()?)
}

/// A value of a document with its path.
#[derive(Clone)]
pub(crate) struct Field<'a> {
    text: &'a str,
    path: String,
    value: &'a Value<'a>,
}

impl<'a> Field<'a> {
    pub(crate) fn error(&self, detail: impl Into<String>) -> CheckError {
        error_at(self.text, &self.path, self.value.start(), detail)
    }

    pub(crate) fn string(&self) -> Result<&'a str, CheckError> {
        match self.value {
            Value::StringLit(lit) => Ok(&lit.value),
            _ => Err(self.error("must be a string")),
        }
    }

    pub(crate) fn boolean(&self) -> Result<bool, CheckError> {
        match self.value {
            Value::BooleanLit(lit) => Ok(lit.value),
            _ => Err(self.error("must be true or false")),
        }
    }

    /// Reads a number within `range`, both ends included.
    pub(crate) fn number<T>(&self, range: &RangeInclusive<T>) -> Result<T, CheckError>
    where
        T: FromStr + PartialOrd + Display,
    {
        let (min, max) = (range.start(), range.end());
        let outside = || self.error(format!("must be a number from {min} to {max}"));
        let Value::NumberLit(lit) = self.value else {
            return Err(outside());
        };
        let number: T = lit.value.parse().map_err(|_| outside())?;
        if range.contains(&number) {
            Ok(number)
        } else {
            Err(outside())
        }
    }

    /// Parses a string as `T`. `what` describes the expected value in the error.
    pub(crate) fn parsed<T: FromStr>(&self, what: &str) -> Result<T, CheckError> {
        let text = self.string()?;
        text.parse()
            .map_err(|_| self.error(format!("{text:?} is not {what}")))
    }

    pub(crate) fn name(&self) -> Result<&'a str, CheckError> {
        let name = self.string()?;
        if is_name(name) {
            Ok(name)
        } else {
            Err(self.error(name_rule(name)))
        }
    }

    pub(crate) fn table(&self) -> Result<Table<'a>, CheckError> {
        match self.value {
            Value::Object(object) => Table::open(self, object),
            _ => Err(self.error("must be an object")),
        }
    }

    pub(crate) fn items(&self) -> Result<Vec<Field<'a>>, CheckError> {
        let Value::Array(array) = self.value else {
            return Err(self.error("must be an array"));
        };
        let items = array.elements.iter().enumerate();
        Ok(items
            .map(|(index, value)| Field {
                text: self.text,
                path: format!("{}[{index}]", self.path),
                value,
            })
            .collect())
    }
}

/// An object of a document. [`Table::finish`] refuses the fields that were not taken.
pub(crate) struct Table<'a> {
    text: &'a str,
    path: String,
    start: usize,
    fields: Vec<(&'a str, Field<'a>)>,
}

impl<'a> Table<'a> {
    fn open(field: &Field<'a>, object: &'a Object<'a>) -> Result<Self, CheckError> {
        let mut table = Self {
            text: field.text,
            path: field.path.clone(),
            start: object.start(),
            fields: Vec::new(),
        };
        if object.properties.len() > MAX_FIELDS {
            return Err(table.error(format!("holds more than {MAX_FIELDS} fields")));
        }
        let mut names = HashSet::new();
        for prop in &object.properties {
            let name = prop.name.as_str();
            let path = join(&table.path, name);
            if !names.insert(name) {
                return Err(error_at(table.text, &path, prop.start(), "appears twice"));
            }
            let field = Field {
                text: table.text,
                path,
                value: &prop.value,
            };
            table.fields.push((name, field));
        }
        Ok(table)
    }

    pub(crate) fn error(&self, detail: impl Into<String>) -> CheckError {
        error_at(self.text, &self.path, self.start, detail)
    }

    pub(crate) fn take(&mut self, name: &str) -> Option<Field<'a>> {
        let index = self.fields.iter().position(|(known, _)| *known == name)?;
        Some(self.fields.remove(index).1)
    }

    pub(crate) fn required(&mut self, name: &str) -> Result<Field<'a>, CheckError> {
        let missing = |table: &Self| {
            let path = join(&table.path, name);
            error_at(table.text, &path, table.start, "is missing")
        };
        self.take(name).ok_or_else(|| missing(self))
    }

    /// Returns all fields of an object whose field names are names that operators choose.
    pub(crate) fn into_named_fields(self) -> Result<Vec<(&'a str, Field<'a>)>, CheckError> {
        for (name, field) in &self.fields {
            if !is_name(name) && *name != "*" {
                return Err(field.error(name_rule(name)));
            }
        }
        Ok(self.fields)
    }

    pub(crate) fn finish(self) -> Result<(), CheckError> {
        match self.fields.first() {
            None => Ok(()),
            Some((_, field)) => Err(field.error("is not a known field")),
        }
    }
}

/// Whether a text may name a process, a data centre, a service or a workspace.
#[must_use]
pub fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=MAX_NAME_LEN).contains(&name.len()) && name.bytes().all(allowed)
}

/// Describes how a name differs from what [`is_name`] requires.
#[must_use]
pub fn name_rule(name: &str) -> String {
    format!("{name:?} must be 1 to {MAX_NAME_LEN} of a-z, 0-9 and -")
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn error_at(text: &str, path: &str, start: usize, detail: impl Into<String>) -> CheckError {
    let field = if path.is_empty() { "document" } else { path };
    CheckError {
        field: field.to_owned(),
        line: text[..start].matches('\n').count() + 1,
        detail: detail.into(),
    }
}
