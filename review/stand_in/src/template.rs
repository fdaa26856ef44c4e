//! Fills the settings templates of `deploy/`, as far as they use the placeholders of the pages:
//! `{{a.b}}`, sections over lists, `{{.}}`, `{{@}}` and `{{,}}`.

use std::collections::BTreeMap;

/// The fields of a process: plain values by their full name, and lists.
#[derive(Default)]
pub struct Fields {
    pub values: BTreeMap<String, String>,
    pub lists: BTreeMap<String, Vec<String>>,
}

impl Fields {
    pub fn set(&mut self, name: &str, value: impl ToString) {
        self.values.insert(name.into(), value.to_string());
    }
}

/// Fills a template.
pub fn fill(template: &str, fields: &Fields) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(at) = rest.find("{{") {
        out.push_str(&rest[..at]);
        rest = &rest[at + 2..];
        let end = rest.find("}}").expect("a closed placeholder");
        let name = &rest[..end];
        rest = &rest[end + 2..];
        if let Some(list) = name.strip_prefix('#') {
            let close = format!("{{{{/{list}}}}}");
            let end = rest.find(&close).expect("a closed section");
            let inner = &rest[..end];
            rest = &rest[end + close.len()..];
            let items = fields.lists.get(list).cloned().unwrap_or_default();
            for (n, item) in items.iter().enumerate() {
                let comma = if n + 1 < items.len() { "," } else { "" };
                let text = inner.replace("{{.}}", item).replace("{{@}}", item);
                out.push_str(&text.replace("{{,}}", comma));
            }
        } else {
            let value = fields.values.get(name);
            out.push_str(value.unwrap_or_else(|| panic!("no field {name}")));
        }
    }
    out.push_str(rest);
    out
}
