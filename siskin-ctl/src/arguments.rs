//! Flags, environment variables and commands.

use {
    getopts::{Matches, Options},
    siskin_config::document::Hash,
    std::{env, fs, net::SocketAddr, path::Path},
};

const ADDRESS_VARIABLE: &str = "SISKIN_OPERATOR_ADDRESS";
const TOKEN_VARIABLE: &str = "SISKIN_OPERATOR_TOKEN";

/// Entries that `history` shows if no limit is given.
const DEFAULT_LIMIT: usize = 20;

const USAGE: &str = "Usage: siskinctl [options] <command>

Commands:
    show [SECTION [NAME]]              print the document in force or a part of it
    diff FROM TO                       print the changes between two versions
    history [--limit N]                print the latest changes
    patch [FILE] [--base N]            submit a JSON merge patch from a file, or from standard input
    customer create NAME [options]     create a customer
    customer set NAME [options]        change a customer
    customer remove NAME               remove a customer
    endpoint list                      print the endpoints with their requests in flight
    endpoint drain NAME...             give endpoints no new work
    endpoint undrain NAME...           give endpoints work again
    model load MODEL ENDPOINT...       add a model to the wanted models of endpoints
    model unload MODEL ENDPOINT...     take a model from the wanted models of endpoints
    suspects list                      print requests suspected of crashing endpoints
    suspects lift FINGERPRINT          no longer suspect a request
    status                             print the state of the router and of its view of the fleet
    explain REQUEST [FILE...]          print what log files, or standard input, tell of a request

The token of the operators' interface comes from --token-file or SISKIN_OPERATOR_TOKEN.
Exit codes: 0 success, 2 bad usage, 3 stale patch, 1 any other failure.";

/// What the program is asked to do.
pub(crate) enum Request {
    /// Print a text and stop.
    Print(String),
    /// Tell the story of a request from log files; needs no router.
    Explain { request: String, files: Vec<String> },
    /// Run a command.
    Run(Arguments),
}

/// Checked settings and the command.
pub(crate) struct Arguments {
    pub(crate) address: SocketAddr,
    pub(crate) token: String,
    pub(crate) format: Format,
    pub(crate) author: String,
    pub(crate) command: Command,
}

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    Json,
    Table,
}

/// A command with its arguments.
#[derive(Debug)]
pub(crate) enum Command {
    Show { section: Option<String>, name: Option<String> },
    Diff { from: u64, to: u64 },
    History { limit: usize },
    Patch { file: Option<String>, base: Option<u64>, id: Option<String> },
    CustomerCreate { name: String, fields: Customer },
    CustomerSet { name: String, fields: Customer },
    CustomerRemove { name: String },
    EndpointList,
    EndpointDrain { names: Vec<String>, leaving: bool },
    ModelLoad { model: String, endpoints: Vec<String>, wanted: bool },
    SuspectsList,
    SuspectsLift { fingerprint: String },
    Status,
}

/// Fields of a customer that are given on the command line.
#[derive(Debug, Default)]
pub(crate) struct Customer {
    pub(crate) number: Option<u32>,
    pub(crate) weight: Option<u32>,
    pub(crate) max_in_flight: Option<u32>,
    pub(crate) max_queue: Option<u32>,
    pub(crate) rate: Option<Rate>,
    pub(crate) key_hashes: Vec<Hash>,
}

/// A limit on the rate of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Rate {
    Unlimited,
    PerSecond(u32),
}

/// Bad usage.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The command line cannot be read.
    #[error("{0}; see siskinctl --help")]
    Usage(String),
    /// A setting is missing or has a bad value.
    #[error("{setting} is {value}; {remedy}")]
    Setting { setting: &'static str, value: String, remedy: String },
}

impl Arguments {
    /// Reads the command line and the environment. A flag wins over an environment variable.
    pub(crate) fn from_environment() -> Result<Request, Error> {
        let options = options();
        let matches = options
            .parse(env::args().skip(1))
            .map_err(|error| Error::Usage(lower_first(&error.to_string())))?;
        if matches.opt_present("help") {
            return Ok(Request::Print(options.usage(USAGE)));
        }
        if matches.opt_present("version") {
            return Ok(Request::Print(format!("siskinctl {}\n", env!("CARGO_PKG_VERSION"))));
        }
        if let [command, request, files @ ..] = matches.free.as_slice()
            && command == "explain"
        {
            return Ok(Request::Explain { request: request.clone(), files: files.to_vec() });
        }
        let command = Command::from_matches(&matches)?;
        refuse_unused(&command, &matches)?;
        let format = format(&matches)?;
        let author = author(&matches)?;
        let address = address(&matches)?;
        let token = token(&matches)?;
        Ok(Request::Run(Self { address, token, format, author, command }))
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optflag("h", "help", "print this help")
        .optflag("V", "version", "print the version")
        .optopt(
            "",
            "address",
            "operators' interface of a router (or SISKIN_OPERATOR_ADDRESS)",
            "IP:PORT",
        )
        .optopt("", "token-file", "file with the token (or SISKIN_OPERATOR_TOKEN)", "FILE")
        .optopt("", "format", "json or table (default)", "FORMAT")
        .optopt("", "author", "author of the patch (default: USER of the environment)", "NAME")
        .optopt("", "base", "version that the patch was made against (default: in force now)", "N")
        .optopt(
            "",
            "patch-id",
            "identifier of the patch, to send one again (default: random)",
            "ID",
        )
        .optopt("", "limit", "number of entries to print (default: 20)", "N")
        .optopt("", "number", "number of the customer (default: the next free one)", "N")
        .optopt("", "weight", "share of the customer relative to others", "N")
        .optopt("", "max-in-flight", "most requests of the customer in flight", "N")
        .optopt("", "max-queue", "most waiting requests of the customer at one router", "N")
        .optopt("", "rate", "most requests per second, or 'unlimited'", "N")
        .optmulti("", "key-hash", "blake3 hash of an API key, may be repeated", "HEX")
        .optmulti("", "key-file", "file with an API key, may be repeated", "FILE");
    options
}

/// Flags that only some commands use.
const SPECIAL_FLAGS: [&str; 10] = [
    "base",
    "patch-id",
    "limit",
    "number",
    "weight",
    "max-in-flight",
    "max-queue",
    "rate",
    "key-hash",
    "key-file",
];

/// Refuses flags that the command does not use, so that nobody relies on a `--base` that is not looked at.
fn refuse_unused(command: &Command, matches: &Matches) -> Result<(), Error> {
    let used: &[&str] = match command {
        Command::Patch { .. } => &["base", "patch-id"],
        Command::History { .. } => &["limit"],
        Command::CustomerCreate { .. } | Command::CustomerSet { .. } => {
            &["number", "weight", "max-in-flight", "max-queue", "rate", "key-hash", "key-file"]
        }
        _ => &[],
    };
    let unused =
        SPECIAL_FLAGS.iter().find(|flag| !used.contains(flag) && matches.opt_present(flag));
    match unused {
        None => Ok(()),
        Some(flag) => {
            let message =
                format!("this command does not use --{flag}; leave it out or use 'patch'");
            Err(Error::Usage(message))
        }
    }
}

fn lower_first(text: &str) -> String {
    let mut characters = text.trim_end_matches('.').chars();
    characters
        .next()
        .map_or_else(String::new, |first| first.to_lowercase().chain(characters).collect())
}

fn format(matches: &Matches) -> Result<Format, Error> {
    match matches.opt_str("format").as_deref() {
        None | Some("table") => Ok(Format::Table),
        Some("json") => Ok(Format::Json),
        Some(other) => Err(setting("--format", other, "use json or table")),
    }
}

fn author(matches: &Matches) -> Result<String, Error> {
    let author = matches.opt_str("author").or_else(|| env::var("USER").ok());
    let author = author.unwrap_or_else(|| "operator".to_owned());
    if author.is_empty() {
        return Err(setting("--author", "", "name who asks for the change"));
    }
    Ok(author)
}

fn address(matches: &Matches) -> Result<SocketAddr, Error> {
    let text = matches.opt_str("address").or_else(|| env::var(ADDRESS_VARIABLE).ok());
    let Some(text) = text else {
        let remedy = "set --address or SISKIN_OPERATOR_ADDRESS to IP:PORT of a router";
        return Err(Error::Setting {
            setting: "--address",
            value: "missing".to_owned(),
            remedy: remedy.to_owned(),
        });
    };
    text.parse()
        .map_err(|_| setting("--address", &text, "use IP:PORT of a router's operators' interface"))
}

/// Reads the token. Its value never appears in an error.
fn token(matches: &Matches) -> Result<String, Error> {
    let (source, token) = match matches.opt_str("token-file") {
        Some(file) => ("--token-file", read("--token-file", &file)?),
        None => (TOKEN_VARIABLE, env::var(TOKEN_VARIABLE).unwrap_or_default()),
    };
    let token = token.trim();
    if token.is_empty() {
        let remedy =
            "put the token into SISKIN_OPERATOR_TOKEN or into a file named by --token-file";
        return Err(Error::Setting {
            setting: source,
            value: "missing or empty".to_owned(),
            remedy: remedy.to_owned(),
        });
    }
    if !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(Error::Setting {
            setting: source,
            value: "malformed".to_owned(),
            remedy: "use a token of visible ASCII characters without spaces".to_owned(),
        });
    }
    Ok(token.to_owned())
}

fn read(setting: &'static str, file: &str) -> Result<String, Error> {
    fs::read_to_string(Path::new(file)).map_err(|error| Error::Setting {
        setting,
        value: format!("'{file}'"),
        remedy: format!("use a readable text file: {error}"),
    })
}

fn setting(setting: &'static str, value: &str, remedy: &str) -> Error {
    Error::Setting { setting, value: format!("'{value}'"), remedy: remedy.to_owned() }
}

fn number<N: std::str::FromStr>(matches: &Matches, name: &'static str) -> Result<Option<N>, Error> {
    let Some(text) = matches.opt_str(name) else { return Ok(None) };
    let parsed = text.parse();
    parsed.map(Some).map_err(|_| Error::Usage(format!("--{name} is '{text}', which is no number")))
}

fn version(text: &str) -> Result<u64, Error> {
    text.parse().map_err(|_| Error::Usage(format!("'{text}' is not the number of a version")))
}

impl Command {
    fn from_matches(matches: &Matches) -> Result<Self, Error> {
        let words: Vec<_> = matches.free.iter().map(String::as_str).collect();
        let owned = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        let command = match words.as_slice() {
            ["show"] => Self::Show { section: None, name: None },
            ["show", section] => Self::Show { section: Some((*section).to_owned()), name: None },
            ["show", section, name] => {
                Self::Show { section: Some((*section).to_owned()), name: Some((*name).to_owned()) }
            }
            ["diff", from, to] => Self::Diff { from: version(from)?, to: version(to)? },
            ["history"] => {
                Self::History { limit: number(matches, "limit")?.unwrap_or(DEFAULT_LIMIT) }
            }
            ["patch"] | ["patch", "-"] => Self::patch(matches, None)?,
            ["patch", file] => Self::patch(matches, Some((*file).to_owned()))?,
            ["customer", "create", name] => Self::CustomerCreate {
                name: (*name).to_owned(),
                fields: Customer::from_matches(matches)?,
            },
            ["customer", "set", name] => Self::CustomerSet {
                name: (*name).to_owned(),
                fields: Customer::from_matches(matches)?,
            },
            ["customer", "remove", name] => Self::CustomerRemove { name: (*name).to_owned() },
            ["endpoint", "list"] => Self::EndpointList,
            ["endpoint", "drain", names @ ..] if !names.is_empty() => {
                Self::EndpointDrain { names: owned(names), leaving: true }
            }
            ["endpoint", "undrain", names @ ..] if !names.is_empty() => {
                Self::EndpointDrain { names: owned(names), leaving: false }
            }
            ["model", "load", model, endpoints @ ..] if !endpoints.is_empty() => Self::ModelLoad {
                model: (*model).to_owned(),
                endpoints: owned(endpoints),
                wanted: true,
            },
            ["model", "unload", model, endpoints @ ..] if !endpoints.is_empty() => {
                Self::ModelLoad {
                    model: (*model).to_owned(),
                    endpoints: owned(endpoints),
                    wanted: false,
                }
            }
            ["suspects", "list"] => Self::SuspectsList,
            ["suspects", "lift", fingerprint] => {
                Self::SuspectsLift { fingerprint: self::fingerprint(fingerprint)? }
            }
            ["status"] => Self::Status,
            [] => return Err(Error::Usage("no command is given".to_owned())),
            words => {
                let command = words.join(" ");
                return Err(Error::Usage(format!("'{command}' is not a complete command")));
            }
        };
        Ok(command)
    }

    fn patch(matches: &Matches, file: Option<String>) -> Result<Self, Error> {
        Ok(Self::Patch { file, base: number(matches, "base")?, id: matches.opt_str("patch-id") })
    }
}

fn fingerprint(text: &str) -> Result<String, Error> {
    if !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Ok(text.to_owned());
    }
    let message = format!("'{text}' is not a fingerprint; 'siskinctl suspects list' prints them");
    Err(Error::Usage(message))
}

impl Customer {
    fn from_matches(matches: &Matches) -> Result<Self, Error> {
        let rate = match matches.opt_str("rate").as_deref() {
            None => None,
            Some("unlimited") => Some(Rate::Unlimited),
            Some(_) => number(matches, "rate")?.map(Rate::PerSecond),
        };
        let mut key_hashes = Vec::new();
        for text in matches.opt_strs("key-hash") {
            let hash =
                text.parse().map_err(|error| Error::Usage(format!("--key-hash: {error}")))?;
            key_hashes.push(hash);
        }
        for file in matches.opt_strs("key-file") {
            key_hashes.push(Hash::of(read("--key-file", &file)?.trim().as_bytes()));
        }
        Ok(Self {
            number: number(matches, "number")?,
            weight: number(matches, "weight")?,
            max_in_flight: number(matches, "max-in-flight")?,
            max_queue: number(matches, "max-queue")?,
            rate,
            key_hashes,
        })
    }
}
