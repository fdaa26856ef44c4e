//! Stand-ins and scripts of the second review: `review-stand-in-2 CASE FOLDER`.
//!
//! Exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod client;
mod endpoint;
mod fleet;
mod http;
mod record;
mod watchdog;

use std::{path::Path, process::ExitCode, sync::Arc};

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let [role, to, connections, depth] = &args[..]
        && role == "crowd-clients"
    {
        return cases::run_clients(to, connections, depth);
    }
    let [case, folder] = &args[..] else {
        eprintln!("usage: review-stand-in-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    watchdog::start();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let result = Record::open(&Path::new(folder).join("record.txt")).and_then(|record| {
        let record = Arc::new(record);
        record.add(format!("{case}, trouble: {has_trouble}"));
        let result = cases::run(case, &record, has_trouble);
        match &result {
            Ok(verdict) => record.add(format!("broken: {}; {}", verdict.is_broken, verdict.text)),
            Err(e) => record.add(format!("the case could not run: {e}")),
        }
        result
    });
    match result {
        Ok(verdict) => {
            println!("{}", verdict.text);
            ExitCode::from(u8::from(verdict.is_broken))
        }
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
