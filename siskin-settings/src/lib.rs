//! Settings from flags and environment variables, validated at start.
//!
//! A program lists its settings in a table of [`Setting`]s. [`load`] reads the flags, falls back to the
//! environment and then to the default, and returns [`Values`] whose getters validate each value. Every error
//! names the setting, the value and the remedy.

pub mod logging;
mod value;

use {
    getopts::Options,
    std::{collections::HashMap, fmt::Write as _, path::Path},
};

pub use value::{Error, Values};

/// One setting of a program.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Name of the flag without dashes, for example `listen`.
    pub flag: &'static str,
    /// Name of the environment variable, for example `SISKIN_LISTEN`.
    pub variable: &'static str,
    /// Value if neither is given; `None` if the setting is optional or required by its getter.
    pub default: Option<&'static str>,
    /// Placeholder for the value in the help text, for example `MS`; empty for a switch.
    pub hint: &'static str,
    /// One line of help.
    pub help: &'static str,
    /// Whether the value is a secret: it has no flag, and the variable may name a file with the suffix `_FILE`.
    pub secret: bool,
}

impl Setting {
    /// A setting with a default.
    #[must_use]
    pub const fn new(
        flag: &'static str,
        variable: &'static str,
        default: Option<&'static str>,
        hint: &'static str,
        help: &'static str,
    ) -> Self {
        Self { flag, variable, default, hint, help, secret: false }
    }

    /// A secret, taken only from the environment or from a file that the environment names.
    #[must_use]
    pub const fn secret(variable: &'static str, help: &'static str) -> Self {
        Self { flag: "", variable, default: None, hint: "SECRET", help, secret: true }
    }
}

/// What to do after the command line was read.
#[derive(Debug)]
pub enum Outcome {
    /// Run with these values.
    Run(Values),
    /// Print this text and exit with code 0 (`--help` and `--version`).
    Print(String),
}

/// Name and version of a program, for its help text.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// Version of the package.
    pub version: &'static str,
    /// One line that says what it does.
    pub purpose: &'static str,
}

/// Reads settings from `arguments` (without the program's name) and from `variables`.
///
/// # Errors
///
/// Returns [`Error`] for an unknown flag, a flag without its value, a stray argument, or a secret file that
/// cannot be read.
///
/// ```
/// use siskin_settings::{load, Outcome, Program, Setting};
/// let program = Program { name: "demo", version: "1.0", purpose: "Shows settings." };
/// let table = [Setting::new("threads", "DEMO_THREADS", Some("2"), "COUNT", "worker threads")];
/// let arguments = ["--threads".to_owned(), "4".to_owned()];
/// let Outcome::Run(values) = load(program, &table, &arguments, |_| None).unwrap() else { panic!() };
/// assert_eq!(values.number::<u32>("threads", 1..=64).unwrap(), 4);
/// ```
pub fn load(
    program: Program,
    table: &[Setting],
    arguments: &[String],
    variables: impl Fn(&str) -> Option<String>,
) -> Result<Outcome, Error> {
    let options = parser_options(table);
    let matches = options.parse(arguments).map_err(|error| Error::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Outcome::Print(help_text(program, table, &options)));
    }
    if matches.opt_present("version") {
        return Ok(Outcome::Print(format!("{} {}", program.name, program.version)));
    }
    if let Some(stray) = matches.free.first() {
        return Err(Error::Usage(format!("unexpected argument '{stray}'")));
    }
    let mut values = HashMap::new();
    for setting in table {
        let given = if setting.secret {
            read_secret(setting, &variables)?
        } else if setting.hint.is_empty() {
            matches
                .opt_present(setting.flag)
                .then(|| "true".to_owned())
                .or_else(|| variables(setting.variable))
        } else {
            matches.opt_str(setting.flag).or_else(|| variables(setting.variable))
        };
        if let Some(value) = given.or_else(|| setting.default.map(str::to_owned)) {
            values.insert(value_key(setting), value);
        }
    }
    Ok(Outcome::Run(Values::new(table, values)))
}

/// Reads the settings of this process; exits on `--help` and `--version` (code 0) and on invalid usage (code 2).
#[must_use]
pub fn load_or_exit(program: Program, table: &[Setting]) -> Values {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match load(program, table, &arguments, |name| std::env::var(name).ok()) {
        Ok(Outcome::Run(values)) => values,
        Ok(Outcome::Print(text)) => {
            println!("{text}");
            std::process::exit(0);
        }
        Err(error) => exit_usage(program, &error),
    }
}

/// Prints a settings error and exits with code 2.
pub fn exit_usage(program: Program, error: &Error) -> ! {
    eprintln!("{}: {error}", program.name);
    eprintln!("Run '{} --help' for the settings.", program.name);
    std::process::exit(2);
}

/// The key of a setting in [`Values`]: its flag, or the variable of a secret.
fn value_key(setting: &Setting) -> &'static str {
    if setting.secret { setting.variable } else { setting.flag }
}

fn parser_options(table: &[Setting]) -> Options {
    let mut options = Options::new();
    options.optflag("", "help", "print this help");
    options.optflag("", "version", "print the version");
    for setting in table.iter().filter(|setting| !setting.secret) {
        if setting.hint.is_empty() {
            options.optflag("", setting.flag, setting.help);
        } else {
            options.optopt("", setting.flag, setting.help, setting.hint);
        }
    }
    options
}

fn help_text(program: Program, table: &[Setting], options: &Options) -> String {
    let brief = format!("{}\n\nUsage: {} [options]", program.purpose, program.name);
    let mut text = options.usage(&brief);
    text.push_str("\nEnvironment variables (a flag wins over its variable):\n");
    for setting in table {
        let default = setting.default.map(|value| format!(", default {value}")).unwrap_or_default();
        let source = if setting.secret {
            format!("{}; or {}_FILE names a file", setting.help, setting.variable)
        } else {
            format!("--{}{default}", setting.flag)
        };
        writeln!(text, "    {:<32} {source}", setting.variable).expect("writing to a string");
    }
    text
}

/// Reads a secret from its variable, or from the file that the variable with the suffix `_FILE` names.
fn read_secret(
    setting: &Setting,
    variables: &impl Fn(&str) -> Option<String>,
) -> Result<Option<String>, Error> {
    if let Some(value) = variables(setting.variable) {
        return Ok(Some(value));
    }
    let variable = format!("{}_FILE", setting.variable);
    let Some(path) = variables(&variable) else { return Ok(None) };
    match std::fs::read_to_string(Path::new(&path)) {
        Ok(text) => Ok(Some(text.trim_end().to_owned())),
        Err(source) => Err(Error::SecretFile { variable, path, source }),
    }
}
