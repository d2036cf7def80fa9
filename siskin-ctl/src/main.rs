//! Command-line tool for operators.

mod arguments;
mod client;
mod command;
mod explain;
mod output;
mod patch;

use {
    arguments::{Arguments, Request},
    client::Client,
    std::{
        io::{Write, stderr, stdout},
        process::ExitCode,
    },
};

/// Exit code for bad usage.
const BAD_USAGE: u8 = 2;
/// Exit code for a stale patch.
const STALE: u8 = 3;

fn main() -> ExitCode {
    let request = match Arguments::from_environment() {
        Ok(request) => request,
        Err(error) => return fail(&error.into()),
    };
    let arguments = match request {
        Request::Print(text) => return print(&text),
        Request::Explain { request, files } => {
            return match explain::run(&request, &files) {
                Ok(text) => print(&text),
                Err(error) => fail(&error),
            };
        }
        Request::Run(arguments) => arguments,
    };
    match run(&arguments) {
        Ok(text) => print(&text),
        Err(error) => fail(&error),
    }
}

fn run(arguments: &Arguments) -> anyhow::Result<String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let client = Client::new(arguments.address, &arguments.token)?;
    let output = runtime.block_on(command::run(&client, arguments))?;
    output.render(arguments.format)
}

fn print(text: &str) -> ExitCode {
    // A reader that has gone away, such as `head`, is not an error of this program.
    let _ = stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

fn fail(error: &anyhow::Error) -> ExitCode {
    let _ = writeln!(stderr(), "siskinctl: {error:#}");
    let code = if error.is::<arguments::Error>() {
        BAD_USAGE
    } else if error.downcast_ref::<client::Error>().is_some_and(client::Error::is_stale) {
        STALE
    } else {
        1
    };
    ExitCode::from(code)
}
