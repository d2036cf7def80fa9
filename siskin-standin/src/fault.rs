//! Faults that an engine or application stand-in injects on command.

use {
    serde::{Deserialize, Serialize},
    std::{sync::Mutex, time::Duration},
};

/// One command of `POST /control`.
///
/// ```
/// use siskin_standin::fault::{Command, Fault};
/// let command: Command = serde_json::from_str(
///     r#"{"fault": "cut", "after_events": 3, "times": 1, "only": "hello"}"#,
/// ).unwrap();
/// assert_eq!(command.fault, Fault::Cut { after_events: 3 });
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// What goes wrong.
    #[serde(flatten)]
    pub fault: Fault,
    /// How many requests are affected; absent: all until `clear`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<u64>,
    /// Affects only requests whose body contains this text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub only: Option<String>,
}

impl Command {
    /// A fault that affects every request until it is cleared.
    #[must_use]
    pub const fn always(fault: Fault) -> Self {
        Self { fault, times: None, only: None }
    }

    /// A fault that affects the next request.
    #[must_use]
    pub const fn once(fault: Fault) -> Self {
        Self { fault, times: Some(1), only: None }
    }

    /// The same command limited to requests whose body contains `text`.
    #[must_use]
    pub fn only(mut self, text: &str) -> Self {
        self.only = Some(text.to_owned());
        self
    }
}

/// A kind of fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// The process dies now: all connections drop and the port refuses for a while.
    Crash {
        /// Time until the port accepts again.
        restart_ms: u64,
    },
    /// The process dies whenever a request contains `text`.
    CrashOn {
        /// The text that kills the process.
        text: String,
        /// Time until the port accepts again.
        restart_ms: u64,
    },
    /// The answer belongs to another request, whose identifier it carries.
    Crossed,
    /// The answer's first byte is late.
    Late {
        /// Added delay.
        delay_ms: u64,
    },
    /// Every event of a stream is sent twice; a plain answer's bytes are sent twice on the connection.
    Doubled,
    /// The connection closes in the middle of the answer.
    Cut {
        /// Events sent before the cut; plain answers are cut halfway.
        after_events: u32,
    },
    /// The connection stays open and nothing more is sent; new connections work.
    Silence {
        /// Events sent before the silence; a plain answer is never sent.
        after_events: u32,
    },
    /// Service takes longer.
    Slow {
        /// Times as long.
        factor: u32,
    },
    /// The endpoint reports that it is leaving.
    Leaving {
        /// Whether it is leaving.
        on: bool,
    },
    /// The request is refused with `503` and `X-Not-Started: true`.
    Refuse,
    /// Removes all faults above.
    Clear,
}

/// The faults that apply to one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Applied {
    pub(crate) crash: Option<Duration>,
    pub(crate) crossed: bool,
    pub(crate) late: Option<Duration>,
    pub(crate) doubled: bool,
    pub(crate) cut: Option<u32>,
    pub(crate) silence: Option<u32>,
    pub(crate) refuse: bool,
}

/// The faults in force.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    armed: Mutex<Vec<Command>>,
}

impl Plan {
    /// Adds a fault, or removes all.
    pub(crate) fn command(&self, command: Command) {
        let mut armed = crate::lock(&self.armed);
        match &command.fault {
            Fault::Clear => armed.clear(),
            Fault::Leaving { .. } => {
                armed.retain(|other| !matches!(other.fault, Fault::Leaving { .. }));
                armed.push(command);
            }
            Fault::Slow { .. } => {
                armed.retain(|other| !matches!(other.fault, Fault::Slow { .. }));
                armed.push(command);
            }
            _ => armed.push(command),
        }
    }

    /// Whether the endpoint reports that it is leaving.
    pub(crate) fn leaving(&self) -> bool {
        crate::lock(&self.armed)
            .iter()
            .any(|command| matches!(command.fault, Fault::Leaving { on: true }))
    }

    /// Times as long as usual that service takes.
    pub(crate) fn factor(&self) -> u32 {
        let slow = |command: &Command| match command.fault {
            Fault::Slow { factor } => Some(factor.max(1)),
            _ => None,
        };
        crate::lock(&self.armed).iter().find_map(slow).unwrap_or(1)
    }

    /// Takes the faults for a request with this body, counting them down.
    pub(crate) fn take(&self, body: &str) -> Applied {
        let mut applied = Applied::default();
        let mut armed = crate::lock(&self.armed);
        for command in armed.iter_mut() {
            let left = command.times.is_none_or(|times| times > 0);
            let matches = command.only.as_deref().is_none_or(|text| body.contains(text));
            if left && matches && applied.add(&command.fault, body) {
                command.times = command.times.map(|times| times - 1);
            }
        }
        armed.retain(|command| command.times != Some(0));
        applied
    }
}

impl Applied {
    /// Adds a fault; false if it does not concern single requests or this one.
    fn add(&mut self, fault: &Fault, body: &str) -> bool {
        match fault {
            Fault::CrashOn { text, restart_ms } if body.contains(text.as_str()) => {
                self.crash = Some(Duration::from_millis(*restart_ms));
            }
            Fault::Crossed => self.crossed = true,
            Fault::Late { delay_ms } => self.late = Some(Duration::from_millis(*delay_ms)),
            Fault::Doubled => self.doubled = true,
            Fault::Cut { after_events } => self.cut = Some(*after_events),
            Fault::Silence { after_events } => self.silence = Some(*after_events),
            Fault::Refuse => self.refuse = true,
            Fault::Crash { .. }
            | Fault::CrashOn { .. }
            | Fault::Slow { .. }
            | Fault::Leaving { .. }
            | Fault::Clear => return false,
        }
        true
    }
}
