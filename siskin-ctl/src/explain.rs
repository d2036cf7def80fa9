//! The story of one request from the log lines of several routers.

use {
    anyhow::{Context, bail},
    std::{
        fs,
        io::{Read, stdin},
    },
};

/// Milliseconds before a request's first line from which other events are shown.
const BEFORE_MS: u64 = 3_000;

/// Milliseconds after its last line up to which other events are shown.
const AFTER_MS: u64 = 500;

/// A log line and where it was found.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Line<'a> {
    /// Milliseconds of the day.
    at_ms: u64,
    source: &'a str,
    text: &'a str,
}

/// Prints the lines of a request from files, or from standard input if there are none, in the order of time. Events that
/// concern no single request, such as an endpoint that was taken out of use, are shown beside them, indented.
///
/// # Errors
///
/// A file cannot be read, or no line names the request.
pub(crate) fn run(request: &str, files: &[String]) -> anyhow::Result<String> {
    let mut texts = Vec::new();
    for file in files {
        let bytes = fs::read(file).with_context(|| format!("cannot read log file '{file}'"))?;
        texts.push((file.clone(), String::from_utf8_lossy(&bytes).into_owned()));
    }
    if files.is_empty() {
        let mut bytes = Vec::new();
        stdin().read_to_end(&mut bytes).context("cannot read log lines from standard input")?;
        texts.push(("-".to_owned(), String::from_utf8_lossy(&bytes).into_owned()));
    }
    let lines: Vec<Line<'_>> = texts
        .iter()
        .flat_map(|(file, text)| text.lines().filter_map(|line| read(file, line)))
        .collect();
    let story: Vec<&Line<'_>> = lines.iter().filter(|line| names(line.text, request)).collect();
    let (Some(first), Some(last)) =
        (story.iter().map(|line| line.at_ms).min(), story.iter().map(|line| line.at_ms).max())
    else {
        bail!(
            "no line names request '{request}'; check the identifier and add the other routers' logs"
        );
    };
    let around = first.saturating_sub(BEFORE_MS)..=last + AFTER_MS;
    let sources: Vec<&str> = story.iter().map(|line| line.source).collect();
    let mut shown: Vec<(&Line<'_>, bool)> = lines
        .iter()
        .filter_map(|line| {
            let own = names(line.text, request);
            let event = !line.text.contains(" request=")
                && around.contains(&line.at_ms)
                && sources.contains(&line.source);
            (own || event).then_some((line, own))
        })
        .collect();
    shown.sort_by_key(|(line, _)| line.at_ms);
    let told = shown.iter().map(|(line, own)| {
        let indent = if *own { "" } else { "    " };
        format!("{indent}{}: {}\n", line.source, line.text)
    });
    Ok(told.collect())
}

/// Reads a line that begins with a time. Text in front of it, such as the name of a VM, is dropped.
fn read<'a>(source: &'a str, line: &'a str) -> Option<Line<'a>> {
    let start = line.find("time=")?;
    let prefix = line[..start].trim().rsplit(' ').next().filter(|prefix| !prefix.is_empty());
    let text = &line[start..];
    Some(Line { at_ms: time_of_day(text)?, source: prefix.unwrap_or(source), text })
}

/// Milliseconds of the day of a line that begins like `time=2026-12-04T08:15:30.123Z`.
fn time_of_day(text: &str) -> Option<u64> {
    let clock = text.split_once('T')?.1.split('Z').next()?;
    let mut parts = clock.split([':', '.']);
    let mut next = || parts.next()?.parse::<u64>().ok();
    let (hours, minutes, seconds, millis) = (next()?, next()?, next()?, next()?);
    Some(((hours * 60 + minutes) * 60 + seconds) * 1_000 + millis)
}

/// Whether a line is about the request.
fn names(text: &str, request: &str) -> bool {
    text.split(' ').any(|pair| {
        pair.strip_prefix("request=").is_some_and(|value| value.trim_matches('"') == request)
    })
}
