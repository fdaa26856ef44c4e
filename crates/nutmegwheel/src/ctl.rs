use std::{path::Path, time::Duration};

use anyhow::Context as _;
use nutmegwheel_ctl::{Client, Error, Options, change, evacuation, show, timeline, withdrawal};
use nutmegwheel_types::{KeyHash, hex};
use serde_json::Value;

use crate::{
    flags::{Ctl, CtlCmd},
    logs::filter_records,
};

/// The timeout of a request to one process.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Exit code: the system refused the command.
const EXIT_REFUSED: u8 = 1;
/// Exit code: no process was reached, or none gave a definite answer.
const EXIT_NOT_CERTAIN: u8 = 3;
/// Exit code: a withdrawal is not confirmed by every data centre yet.
const EXIT_PENDING: u8 = 4;

/// The text to print, and the exit code.
struct CommandOutput {
    text: String,
    code: u8,
}

/// Runs a `ctl` command and returns the exit code.
pub(crate) fn run(cmd: Ctl) -> u8 {
    match execute(cmd) {
        Ok(printed) => {
            println!("{}", printed.text.trim_end());
            printed.code
        }
        Err(e) => {
            eprintln!("{e:#}");
            match e.downcast_ref::<Error>() {
                Some(Error::NotCertain { .. }) => EXIT_NOT_CERTAIN,
                _ => EXIT_REFUSED,
            }
        }
    }
}

fn execute(cmd: Ctl) -> anyhow::Result<CommandOutput> {
    let client = Client::open(Options {
        addresses: read_addresses(&cmd.at)?,
        secret: read_trimmed(&cmd.secret_file)?,
        timeout: TIMEOUT,
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(command(&client, cmd.subcommand, cmd.json))
}

async fn command(client: &Client, cmd: CtlCmd, json: bool) -> anyhow::Result<CommandOutput> {
    match cmd {
        CtlCmd::Apply(cmd) => {
            let text = read_trimmed(&cmd.file)?;
            commit(client, cmd.number, change::configure(&text), json).await
        }
        CtlCmd::GiveKey(cmd) => {
            let key = read_trimmed(&cmd.key_file)?;
            let body = change::give_key(&cmd.workspace, &key);
            commit(client, cmd.number, body, json).await
        }
        CtlCmd::WithdrawKey(cmd) => {
            let hash = read_hash(cmd.key_file.as_deref(), cmd.hash.as_deref())?;
            withdraw(client, &hash, json).await
        }
        CtlCmd::Show(_) => Ok(success(pretty(&show::configuration(client).await?))),
        CtlCmd::Evacuate(cmd) => {
            show_evacuations(&evacuation::evacuate(client, &cmd.data_centre).await?, json)
        }
        CtlCmd::Readmit(cmd) => {
            show_evacuations(&evacuation::readmit(client, &cmd.data_centre).await?, json)
        }
        CtlCmd::Evacuations(_) => show_evacuations(&evacuation::show(client).await?, json),
        CtlCmd::Status(_) => status(client, json).await,
        CtlCmd::Timeline(cmd) => show_timeline(client, cmd.request.as_deref(), json).await,
    }
}

async fn commit(
    client: &Client,
    number: u64,
    body: String,
    json: bool,
) -> anyhow::Result<CommandOutput> {
    let outcome = change::commit(client, change::Options { number, body }).await?;
    if json {
        return Ok(success(serde_json::to_string(&outcome)?));
    }
    let resent = if outcome.first { "" } else { " (before)" };
    Ok(success(format!(
        "change {} committed as version {}{resent}",
        outcome.number, outcome.version
    )))
}

async fn withdraw(client: &Client, hash: &KeyHash, json: bool) -> anyhow::Result<CommandOutput> {
    let outcome = withdrawal::withdraw(client, hash).await?;
    let code = if outcome.is_in_force() {
        0
    } else {
        EXIT_PENDING
    };
    let text = if json {
        serde_json::to_string(&outcome)?
    } else if outcome.is_in_force() {
        "in force in every data centre".to_owned()
    } else {
        format!("pending, waiting for {}", outcome.waiting_for.join(", "))
    };
    Ok(CommandOutput { text, code })
}

fn show_evacuations(outcome: &evacuation::Outcome, json: bool) -> anyhow::Result<CommandOutput> {
    if json {
        return Ok(success(serde_json::to_string(outcome)?));
    }
    let text = if outcome.evacuated.is_empty() {
        "no data centre is evacuated".to_owned()
    } else {
        format!("evacuated: {}", outcome.evacuated.join(", "))
    };
    Ok(success(text))
}

async fn status(client: &Client, json: bool) -> anyhow::Result<CommandOutput> {
    let all = show::status(client).await;
    let missing = all.iter().any(|(_, status)| status.is_err());
    let code = if missing { EXIT_NOT_CERTAIN } else { 0 };
    let value = |status: Result<Value, String>| status.unwrap_or_else(Value::from);
    let text = if json {
        let map: serde_json::Map<String, Value> = all
            .into_iter()
            .map(|(peer, status)| (peer.to_string(), value(status)))
            .collect();
        Value::from(map).to_string()
    } else {
        let lines = all
            .into_iter()
            .map(|(peer, status)| format!("{peer}: {}", pretty(&value(status))));
        lines.collect::<Vec<_>>().join("\n")
    };
    Ok(CommandOutput { text, code })
}

async fn show_timeline(
    client: &Client,
    request: Option<&str>,
    json: bool,
) -> anyhow::Result<CommandOutput> {
    let outcome = timeline::fetch(client).await;
    let records = filter_records(outcome.records, request);
    for missing in &outcome.missing {
        eprintln!("missing: {missing}");
    }
    let code = if outcome.missing.is_empty() {
        0
    } else {
        EXIT_NOT_CERTAIN
    };
    let text = if json {
        serde_json::to_string(&records)?
    } else {
        nutmegwheel_events::render(&records)
    };
    Ok(CommandOutput { text, code })
}

fn success(text: String) -> CommandOutput {
    CommandOutput { text, code: 0 }
}

fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

fn read_addresses(text: &str) -> anyhow::Result<Vec<std::net::SocketAddr>> {
    text.split(',')
        .map(|part| {
            let part = part.trim();
            part.parse()
                .with_context(|| format!("--at: {part:?} is not IP:PORT"))
        })
        .collect()
}

fn read_trimmed(path: &Path) -> anyhow::Result<String> {
    let text = std::fs::read_to_string(path);
    let text = text.with_context(|| format!("{}: cannot be read", path.display()))?;
    Ok(text.trim().to_owned())
}

fn read_hash(key_file: Option<&Path>, hash: Option<&str>) -> anyhow::Result<KeyHash> {
    match (key_file, hash) {
        (Some(path), None) => Ok(nutmegwheel_config::hash_key(read_trimmed(path)?.as_bytes())),
        (None, Some(hash)) => hex::decode(hash).context("--hash: not 64 hex digits"),
        _ => anyhow::bail!("give either --key-file or --hash"),
    }
}
