//! Carries out the commands.

use {
    crate::{
        arguments::{Arguments, Command},
        client::{Client, json},
        output::{Output, Table, cell},
        patch,
    },
    anyhow::{Context, bail},
    serde_json::Value,
    siskin_config::{
        document::Document,
        operator::{
            Accepted, CONFIG_PATH, Config, DIFF_PATH, Diff, ENDPOINTS_PATH, Endpoints,
            HISTORY_PATH, History, Patch, STATUS_PATH, SUSPECTS_PATH, Status, Suspects,
        },
    },
    std::{
        fs,
        io::{Read, stdin},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Widest text of changes in the table of the history.
const MAX_CHANGES_CHARS: usize = 80;

/// Runs a command.
pub(crate) async fn run(client: &Client, arguments: &Arguments) -> anyhow::Result<Output> {
    match &arguments.command {
        Command::Show { section, name } => show(client, section.as_deref(), name.as_deref()).await,
        Command::Diff { from, to } => diff(client, *from, *to).await,
        Command::History { limit } => history(client, *limit).await,
        Command::Patch { file, base, id } => {
            submit_file(client, arguments, file.as_deref(), *base, id.clone()).await
        }
        Command::EndpointList => endpoints(client).await,
        Command::SuspectsList => suspects(client).await,
        Command::SuspectsLift { fingerprint } => lift(client, fingerprint).await,
        Command::Status => status(client).await,
        Command::CustomerCreate { .. }
        | Command::CustomerSet { .. }
        | Command::CustomerRemove { .. }
        | Command::EndpointDrain { .. }
        | Command::ModelLoad { .. } => change(client, arguments).await,
    }
}

/// Reads the document in force, makes a patch against its version and submits it.
async fn change(client: &Client, arguments: &Arguments) -> anyhow::Result<Output> {
    let Config { version, document } = client.get(CONFIG_PATH).await?;
    let Some(changes) = changes(&document, &arguments.command)? else {
        return Ok(Output {
            json: serde_json::json!({ "version": version, "changed": false }),
            table: Table::Line(format!("nothing to change in version {version}")),
        });
    };
    submit(client, arguments, version, patch::random_id(), changes).await
}

fn changes(document: &Document, command: &Command) -> anyhow::Result<Option<Value>> {
    match command {
        Command::CustomerCreate { name, fields } => {
            patch::create_customer(document, name, fields).map(Some)
        }
        Command::CustomerSet { name, fields } => {
            patch::set_customer(document, name, fields).map(Some)
        }
        Command::CustomerRemove { name } => patch::remove_customer(document, name).map(Some),
        Command::EndpointDrain { names, leaving } => patch::drain(document, names, *leaving),
        Command::ModelLoad { model, endpoints, wanted } => {
            patch::load(document, model, endpoints, *wanted)
        }
        Command::Show { .. }
        | Command::Diff { .. }
        | Command::History { .. }
        | Command::Patch { .. }
        | Command::EndpointList
        | Command::SuspectsList
        | Command::SuspectsLift { .. }
        | Command::Status => Ok(None),
    }
}

async fn submit(
    client: &Client,
    arguments: &Arguments,
    base: u64,
    id: String,
    changes: Value,
) -> anyhow::Result<Output> {
    let patch = Patch { id, base, author: arguments.author.clone(), changes };
    let accepted: Accepted = client.submit(&patch).await?;
    let Accepted { version } = accepted;
    Ok(Output {
        json: json(&accepted)?,
        table: Table::Line(format!("accepted as version {version}")),
    })
}

async fn submit_file(
    client: &Client,
    arguments: &Arguments,
    file: Option<&str>,
    base: Option<u64>,
    id: Option<String>,
) -> anyhow::Result<Output> {
    let text = read_text(file)?;
    let changes = serde_json::from_str(&text).context("the patch is not JSON; correct the text")?;
    let base = match base {
        Some(base) => base,
        None => client.get::<Config>(CONFIG_PATH).await?.version,
    };
    submit(client, arguments, base, id.unwrap_or_else(patch::random_id), changes).await
}

/// The text of a file, or of standard input.
fn read_text(file: Option<&str>) -> anyhow::Result<String> {
    if let Some(file) = file {
        return fs::read_to_string(file)
            .with_context(|| format!("cannot read '{file}'; name a readable file"));
    }
    let mut text = String::new();
    stdin().read_to_string(&mut text).context("cannot read standard input")?;
    Ok(text)
}

async fn show(
    client: &Client,
    section: Option<&str>,
    name: Option<&str>,
) -> anyhow::Result<Output> {
    let config: Config = client.get(CONFIG_PATH).await?;
    let Some(section) = section else {
        return Ok(Output { json: json(&config)?, table: summary(&config) });
    };
    let mut document = json(&config.document)?;
    let Some(part) = part(&config.document, &mut document, section) else {
        bail!(
            "there is no section '{section}'; use customers, pools, models, endpoints, routes or fleet"
        );
    };
    let Some(name) = name else {
        let table = match (section, part.as_object()) {
            ("fleet", _) | (_, None) => Table::of_leaves(&["setting", "value"], &part),
            (_, Some(items)) => Table::of_items(items),
        };
        return Ok(Output { json: part, table });
    };
    let item = part.get(name).cloned().with_context(|| {
        format!("there is no '{name}' in {section}; 'siskinctl show {section}' prints the names")
    })?;
    let table = Table::of_leaves(&["field", "value"], &item);
    Ok(Output { json: item, table })
}

/// A section of the document. Sections that are empty are left out of its JSON, and so are settings
/// of the fleet with their default values.
fn part(document: &Document, json: &mut Value, section: &str) -> Option<Value> {
    match section {
        "customers" | "pools" | "models" | "endpoints" | "routes" => {
            let part = json.get_mut(section).map(Value::take);
            Some(part.unwrap_or_else(|| serde_json::json!({})))
        }
        "fleet" => Some(settings(document)),
        _ => None,
    }
}

/// All settings of the fleet, also those with default values.
fn settings(document: &Document) -> Value {
    let fleet = &document.fleet;
    serde_json::json!({
        "connect_timeout_ms": fleet.connect_timeout_ms,
        "progress_timeout_ms": fleet.progress_timeout_ms,
        "probe_timeout_ms": fleet.probe_timeout_ms,
        "request_timeout_ms": fleet.request_timeout_ms,
        "retry_budget_percent": fleet.retry_budget_percent,
        "claim_retention_s": fleet.claim_retention_s,
        "poison_expiry_s": fleet.poison_expiry_s,
        "max_body_bytes": fleet.max_body_bytes,
        "max_head_bytes": fleet.max_head_bytes,
        "load_spacing_ms": fleet.load_spacing_ms
    })
}

fn summary(config: &Config) -> Table {
    let document = &config.document;
    let rows = [
        ("version", usize::try_from(config.version).unwrap_or(usize::MAX)),
        ("customers", document.customers.len()),
        ("pools", document.pools.len()),
        ("models", document.models.len()),
        ("endpoints", document.endpoints.len()),
        ("routes", document.routes.len()),
    ];
    let rows = rows.map(|(name, count)| vec![name.to_owned(), count.to_string()]);
    Table::new(&["section", "count"], rows.into())
}

async fn diff(client: &Client, from: u64, to: u64) -> anyhow::Result<Output> {
    let diff: Diff = client.get(&format!("{DIFF_PATH}?from={from}&to={to}")).await?;
    let table = Table::of_leaves(&["field", "value"], &diff.changes);
    Ok(Output { json: json(&diff)?, table })
}

async fn history(client: &Client, limit: usize) -> anyhow::Result<Output> {
    let history: History = client.get(&format!("{HISTORY_PATH}?limit={limit}")).await?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let rows = history.entries.iter().map(|entry| {
        let age = now.saturating_sub(Duration::from_millis(entry.time_ms));
        let changes: String = entry.changes.to_string().chars().take(MAX_CHANGES_CHARS).collect();
        vec![
            entry.version.to_string(),
            format!("{} ago", short(age)),
            cell(&entry.author.as_str().into()),
            cell(&entry.patch.as_str().into()),
            changes,
        ]
    });
    let table = Table::new(&["version", "accepted", "author", "patch", "changes"], rows.collect());
    Ok(Output { json: json(&history)?, table })
}

/// A duration in its largest unit.
fn short(duration: Duration) -> String {
    match duration.as_secs() {
        seconds @ 0..60 => format!("{seconds}s"),
        seconds @ 60..3_600 => format!("{}min", seconds / 60),
        seconds @ 3_600..86_400 => format!("{}h", seconds / 3_600),
        seconds => format!("{}d", seconds / 86_400),
    }
}

async fn endpoints(client: &Client) -> anyhow::Result<Output> {
    let list: Endpoints = client.get(ENDPOINTS_PATH).await?;
    let rows = list.endpoints.iter().map(|endpoint| {
        let state = match (endpoint.leaving, endpoint.empty) {
            (true, true) => "empty",
            (true, false) => "leaving",
            (false, _) => "serving",
        };
        vec![
            endpoint.name.clone(),
            endpoint.pool.clone(),
            endpoint.address.to_string(),
            endpoint.data_centre.clone(),
            endpoint.in_flight.to_string(),
            endpoint.slots.to_string(),
            state.to_owned(),
        ]
    });
    let headings = ["name", "pool", "address", "data centre", "in flight", "slots", "state"];
    Ok(Output { json: json(&list)?, table: Table::new(&headings, rows.collect()) })
}

async fn suspects(client: &Client) -> anyhow::Result<Output> {
    let list: Suspects = client.get(SUSPECTS_PATH).await?;
    let rows = list.suspects.iter().map(|suspect| {
        vec![
            suspect.fingerprint.clone(),
            suspect.strikes.to_string(),
            if suspect.refused { "refused" } else { "runs alone" }.to_owned(),
            short(Duration::from_millis(suspect.expires_in_ms)),
        ]
    });
    let headings = ["fingerprint", "strikes", "state", "expires in"];
    Ok(Output { json: json(&list)?, table: Table::new(&headings, rows.collect()) })
}

async fn lift(client: &Client, fingerprint: &str) -> anyhow::Result<Output> {
    client.delete(&format!("{SUSPECTS_PATH}/{fingerprint}")).await?;
    Ok(Output {
        json: serde_json::json!({ "lifted": fingerprint }),
        table: Table::Line(format!("{fingerprint} is no longer suspected")),
    })
}

async fn status(client: &Client) -> anyhow::Result<Output> {
    let status: Status = client.get(STATUS_PATH).await?;
    let json = json(&status)?;
    let table = Table::of_leaves(&["field", "value"], &json);
    Ok(Output { json, table })
}
