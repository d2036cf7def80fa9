//! Processes of endpoints.

/// The process that answers at an endpoint, as its load report describes it.
///
/// ```
/// use siskin_types::process::Process;
/// let before = Process { instance: 1, software: Some("1".to_owned()) };
/// let restarted = Process { instance: 2, ..before.clone() };
/// let upgraded = Process { instance: 2, software: Some("2".to_owned()) };
/// assert!(restarted.continues(&before, true));
/// assert!(!upgraded.continues(&before, true));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Process {
    /// Changes at every start of the endpoint; 0 if it is not known.
    pub instance: u64,
    /// Version of its software, if it is known.
    pub software: Option<String>,
}

impl Process {
    /// Whether a stream that `began` has begun may go on here. What two software versions write does not fit together.
    /// `is_named` says whether any endpoint of the pool names its version: two that name none may differ then.
    #[must_use]
    pub fn continues(&self, began: &Self, is_named: bool) -> bool {
        match (&began.software, &self.software) {
            (None, None) => !is_named || (self.instance != 0 && self.instance == began.instance),
            (began, here) => began == here,
        }
    }
}
