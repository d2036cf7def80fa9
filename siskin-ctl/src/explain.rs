//! The story of one request from the log lines of several routers.

use {
    anyhow::{Context as _, bail},
    std::{
        fs,
        io::{Read, stdin},
        ops::RangeInclusive,
    },
};

/// Milliseconds before a request's first line from which other events are shown.
const BEFORE_MS: u64 = 3_000;

/// Milliseconds after its last line up to which other events are shown.
const AFTER_MS: u64 = 500;

/// Messages on crashes of endpoints. Their lines name the features of a request that waited, or of a cause.
const CRASH_MESSAGES: [&str; 3] =
    ["endpoint crashed while", "cause of crashes found", "request is tried"];

/// A log line and where it was found.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Line<'a> {
    /// Milliseconds of the day.
    at_ms: u64,
    source: &'a str,
    text: &'a str,
}

/// Prints the lines of a request from files, or from standard input if there are none, in the order of time. Shown beside
/// them, indented:
///
/// * events of the same routers at about that time that concern no single request, such as an endpoint that was taken out
///   of use
/// * crashes of endpoints at which a request with one of its features waited, at any router and time
///
/// # Errors
///
/// A file cannot be read, or no line names the request.
pub(crate) fn run(request: &str, files: &[String]) -> anyhow::Result<String> {
    let texts = read_texts(files)?;
    let lines: Vec<Line<'_>> = texts
        .iter()
        .flat_map(|(file, text)| text.lines().filter_map(|line| read(file, line)))
        .collect();
    let own: Vec<&Line<'_>> = lines.iter().filter(|line| names(line.text, request)).collect();
    let Some(context) = Context::new(&own) else {
        bail!(
            "no line names request '{request}'; check the identifier and add the other routers' logs"
        );
    };
    let mut shown: Vec<(&Line<'_>, bool)> = lines
        .iter()
        .map(|line| (line, names(line.text, request)))
        .filter(|(line, is_own)| *is_own || context.includes(line))
        .collect();
    shown.sort_by_key(|(line, _)| line.at_ms);
    let printed = shown.iter().map(|(line, is_own)| {
        let indent = if *is_own { "" } else { "    " };
        format!("{indent}{}: {}\n", line.source, line.text)
    });
    Ok(printed.collect())
}

/// Reads files, or standard input if there are none. Returns each text with its name.
fn read_texts(files: &[String]) -> anyhow::Result<Vec<(String, String)>> {
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
    Ok(texts)
}

/// What decides which lines are shown beside those of a request.
struct Context<'a> {
    /// Milliseconds of the day in which events are shown.
    around: RangeInclusive<u64>,
    sources: Vec<&'a str>,
    features: Vec<&'a str>,
}

impl<'a> Context<'a> {
    /// The context of a request's own lines; `None` if there are none.
    fn new(own: &[&Line<'a>]) -> Option<Self> {
        let first = own.iter().map(|line| line.at_ms).min()?;
        let last = own.iter().map(|line| line.at_ms).max()?;
        Some(Self {
            around: first.saturating_sub(BEFORE_MS)..=last + AFTER_MS,
            sources: own.iter().map(|line| line.source).collect(),
            features: own.iter().flat_map(|line| features(line.text)).collect(),
        })
    }

    fn includes(&self, line: &Line<'_>) -> bool {
        let is_event = !line.text.contains(" request=")
            && self.around.contains(&line.at_ms)
            && self.sources.contains(&line.source);
        let is_crash = CRASH_MESSAGES.iter().any(|message| line.text.contains(message));
        is_event
            || (is_crash && features(line.text).any(|feature| self.features.contains(&feature)))
    }
}

/// The features that a line names.
fn features(text: &str) -> impl Iterator<Item = &str> {
    let value = text.split(' ').find_map(|pair| pair.strip_prefix("features="));
    value.unwrap_or_default().split(',').filter(|feature| !feature.is_empty())
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
