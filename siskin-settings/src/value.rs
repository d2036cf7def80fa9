//! Values of settings and their validation.

use {
    crate::Setting,
    std::{
        collections::HashMap, fmt::Display, net::SocketAddr, ops::RangeInclusive, str::FromStr,
        time::Duration,
    },
};

/// A missing or invalid setting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is malformed.
    #[error("{0}")]
    Usage(String),
    /// A required setting is missing.
    #[error("setting {name} is missing: {remedy}")]
    Missing {
        /// Flag and variable of the setting.
        name: String,
        /// How to correct it.
        remedy: String,
    },
    /// A value is invalid for its setting.
    #[error("setting {name} has the value '{value}': {remedy}")]
    Invalid {
        /// Flag and variable of the setting.
        name: String,
        /// The value as given.
        value: String,
        /// How to correct it.
        remedy: String,
    },
    /// A secret cannot be used. The value is not shown.
    #[error("secret {variable} cannot be used: {remedy}")]
    Secret {
        /// The environment variable.
        variable: String,
        /// How to correct it.
        remedy: String,
    },
    /// The file that holds a secret cannot be read.
    #[error(
        "{variable} names the file '{path}', which cannot be read ({source}); correct the path or its permissions"
    )]
    SecretFile {
        /// The environment variable.
        variable: String,
        /// The file.
        path: String,
        /// Why reading failed.
        source: std::io::Error,
    },
}

/// The values of a program's settings.
#[derive(Debug)]
pub struct Values {
    variables: HashMap<&'static str, &'static str>,
    values: HashMap<&'static str, String>,
}

impl Values {
    pub(crate) fn new(table: &[Setting], values: HashMap<&'static str, String>) -> Self {
        let variables = table.iter().map(|setting| (setting.flag, setting.variable)).collect();
        Self { variables, values }
    }

    /// The text of a setting, if it has a value.
    #[must_use]
    pub fn text(&self, flag: &str) -> Option<&str> {
        self.values.get(flag).map(String::as_str)
    }

    /// Whether a switch is on.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] if its variable is neither `true` nor `false`.
    pub fn switch(&self, flag: &str) -> Result<bool, Error> {
        match self.text(flag) {
            None | Some("false" | "0") => Ok(false),
            Some("true" | "1") => Ok(true),
            Some(value) => Err(self.invalid(flag, value, "use true or false")),
        }
    }

    /// The text of a setting that must be given.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] if it is not given.
    pub fn required(&self, flag: &str) -> Result<&str, Error> {
        self.text(flag).ok_or_else(|| Error::Missing {
            name: self.name(flag),
            remedy: "give the flag or set the variable".to_owned(),
        })
    }

    /// A secret by the name of its variable.
    #[must_use]
    pub fn secret(&self, variable: &str) -> Option<&str> {
        self.text(variable).filter(|secret| !secret.is_empty())
    }

    /// A number within `range`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] without a value and [`Error::Invalid`] for one that is no number or out of range.
    pub fn number<N: FromStr + PartialOrd + Display>(
        &self,
        flag: &str,
        range: RangeInclusive<N>,
    ) -> Result<N, Error> {
        let value = self.required(flag)?;
        let remedy = || format!("use a number from {} to {}", range.start(), range.end());
        let number = value.parse::<N>().map_err(|_| self.invalid(flag, value, &remedy()))?;
        if range.contains(&number) { Ok(number) } else { Err(self.invalid(flag, value, &remedy())) }
    }

    /// A duration given in milliseconds within `range`.
    ///
    /// # Errors
    ///
    /// As [`Values::number`].
    pub fn millis(&self, flag: &str, range: RangeInclusive<u64>) -> Result<Duration, Error> {
        self.number(flag, range).map(Duration::from_millis)
    }

    /// An IP address with port.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] without a value and [`Error::Invalid`] for a malformed one.
    pub fn address(&self, flag: &str) -> Result<SocketAddr, Error> {
        let value = self.required(flag)?;
        self.parse_address(flag, value)
    }

    /// A list of IP addresses with ports, separated by commas; empty if not given.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] if one is malformed.
    pub fn addresses(&self, flag: &str) -> Result<Vec<SocketAddr>, Error> {
        let list = self.text(flag).unwrap_or_default();
        list.split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(|part| self.parse_address(flag, part))
            .collect()
    }

    /// Creates the error for a value that fails a program's own validation.
    #[must_use]
    pub fn invalid(&self, flag: &str, value: &str, remedy: &str) -> Error {
        Error::Invalid { name: self.name(flag), value: value.to_owned(), remedy: remedy.to_owned() }
    }

    fn parse_address(&self, flag: &str, text: &str) -> Result<SocketAddr, Error> {
        text.parse().map_err(|_| {
            self.invalid(flag, text, "use an IP address and port such as 127.0.0.1:8080")
        })
    }

    fn name(&self, flag: &str) -> String {
        let variable = self.variables.get(flag).copied().unwrap_or_default();
        format!("--{flag} ({variable})")
    }
}
