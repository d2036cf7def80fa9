//! Roles of model engines.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Which phases of a request an engine serves: prefill, decode or both.
///
/// ```
/// use siskin_types::role::Role;
/// assert_eq!(Role::named("prefill"), Some(Role::Prefill));
/// assert!(!Role::Prefill.serves_requests());
/// assert!(Role::default().serves_requests());
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode: whole requests.
    #[default]
    Both,
    /// Only the prefill phase; another engine decodes.
    Prefill,
    /// Only the decode phase, after another engine's prefill.
    Decode,
}

impl Role {
    /// All roles.
    pub const ALL: [Self; 3] = [Self::Both, Self::Prefill, Self::Decode];

    /// Whether an engine in this role serves whole requests. Routers send requests only to such engines.
    #[must_use]
    pub const fn serves_requests(self) -> bool {
        matches!(self, Self::Both)
    }

    /// The name in the configuration and in the engines' protocol.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Both => "both",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }

    /// The role with this name, if there is one.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|role| role.name() == name)
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
