//! The product and its baselines.

use {siskin_router::settings::Scheduling, std::fmt, std::str::FromStr};

/// How slots are shared in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mode {
    /// The product: a fleet with slot grants of each pool's owner.
    Fleet,
    /// Each router is fair by itself and uses a fixed part of the slots.
    Isolated,
    /// One router with all slots takes all requests: a single global queue.
    Global,
}

impl Mode {
    /// All modes, the product first.
    pub const ALL: [Self; 3] = [Self::Fleet, Self::Isolated, Self::Global];

    /// Its name in flags and reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fleet => "fleet",
            Self::Isolated => "isolated",
            Self::Global => "global",
        }
    }

    /// Routers that run when the fleet has `routers`.
    #[must_use]
    pub const fn routers(self, routers: u32) -> u32 {
        match self {
            Self::Fleet | Self::Isolated => routers,
            Self::Global => 1,
        }
    }

    /// The setting of the routers.
    #[must_use]
    pub const fn scheduling(self) -> Scheduling {
        match self {
            Self::Fleet => Scheduling::Fleet,
            // One router that shares with nobody holds all slots.
            Self::Isolated | Self::Global => Scheduling::Isolated,
        }
    }
}

impl fmt::Display for Mode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A name that is not in a closed list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no {what} '{name}'; choose from {choices}")]
pub struct Unknown {
    /// What was looked for.
    pub what: &'static str,
    /// The name given.
    pub name: String,
    /// All names.
    pub choices: String,
}

impl FromStr for Mode {
    type Err = Unknown;

    fn from_str(name: &str) -> Result<Self, Unknown> {
        find(&Self::ALL, Self::name, "mode", name)
    }
}

/// Finds a value by its name.
pub(crate) fn find<T: Copy>(
    all: &[T],
    name_of: impl Fn(T) -> &'static str,
    what: &'static str,
    name: &str,
) -> Result<T, Unknown> {
    all.iter().copied().find(|value| name_of(*value) == name).ok_or_else(|| {
        let choices: Vec<_> = all.iter().map(|value| name_of(*value)).collect();
        Unknown { what, name: name.to_owned(), choices: choices.join(", ") }
    })
}
