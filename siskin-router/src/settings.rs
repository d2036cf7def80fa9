//! Settings of a router.

use {
    siskin_config::document::{Document, validate},
    siskin_settings::{Error, Setting, Values},
    siskin_types::id::Node,
    std::{fmt, net::SocketAddr, time::Duration},
};

/// How slots are shared. The modes other than [`Scheduling::Fleet`] are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scheduling {
    /// Fair over the whole fleet by slot grants of each pool's owner.
    #[default]
    Fleet,
    /// Each router is fair by itself and uses a fixed part of the slots.
    Isolated,
}

/// A secret that is never shown in logs.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret.
    #[must_use]
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The secret itself.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// All settings of a router process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of this router's VM, unique in the fleet.
    pub node: Node,
    /// Data centre of this VM.
    pub data_centre: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other routers, over UDP and TCP.
    pub control: SocketAddr,
    /// Address for operators, health and metrics.
    pub operator: SocketAddr,
    /// Control addresses of other routers to join.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of the platform's key-value service.
    pub store: Vec<SocketAddr>,
    /// Address of the platform's list of VMs.
    pub vm_list: Option<SocketAddr>,
    /// Configuration document to create if the store holds none.
    pub bootstrap: Option<Document>,
    /// Longest time to finish requests in flight after a stop was asked for.
    pub stop_timeout: Duration,
    /// Time between failing readiness and closing the listener, for the balancer to notice.
    pub stop_notice: Duration,
    /// How slots are shared.
    pub scheduling: Scheduling,
    /// Fleet size that the isolated baseline divides slots by.
    pub fleet_size: u32,
    /// Key that authenticates frames between routers.
    pub fleet_key: Secret,
    /// Second key accepted while the key is changed.
    pub fleet_key_next: Option<Secret>,
    /// Secret under which idempotency keys and request contents are hashed. It must stay the same for as long as
    /// claims are kept.
    pub hash_key: Secret,
    /// Token of the operators' interface.
    pub operator_token: Secret,
    /// Log filter.
    pub log: String,
}

/// Shortest accepted secret in bytes.
const SECRET_BYTES_MIN: usize = 16;

/// The table of settings of `siskin-router`.
pub const TABLE: [Setting; 18] = [
    Setting::new("node", "SISKIN_NODE", None, "NUMBER", "number of this VM, unique in the fleet"),
    Setting::new(
        "data-centre",
        "SISKIN_DATA_CENTRE",
        Some("default"),
        "NAME",
        "data centre of this VM",
    ),
    Setting::new(
        "listen",
        "SISKIN_LISTEN",
        Some("127.0.0.1:8080"),
        "ADDRESS",
        "address for callers",
    ),
    Setting::new(
        "control",
        "SISKIN_CONTROL",
        Some("127.0.0.1:8081"),
        "ADDRESS",
        "address for other routers, UDP and TCP",
    ),
    Setting::new(
        "operator",
        "SISKIN_OPERATOR",
        Some("127.0.0.1:8082"),
        "ADDRESS",
        "address for operators, health and metrics",
    ),
    Setting::new(
        "seeds",
        "SISKIN_SEEDS",
        Some(""),
        "ADDRESSES",
        "control addresses of other routers, separated by commas",
    ),
    Setting::new(
        "store",
        "SISKIN_STORE",
        None,
        "ADDRESSES",
        "addresses of the key-value service, separated by commas",
    ),
    Setting::new(
        "vm-list",
        "SISKIN_VM_LIST",
        None,
        "ADDRESS",
        "address of the platform's list of VMs",
    ),
    Setting::new(
        "bootstrap",
        "SISKIN_BOOTSTRAP",
        None,
        "FILE",
        "configuration document to create if the store holds none",
    ),
    Setting::new(
        "stop-timeout-ms",
        "SISKIN_STOP_TIMEOUT_MS",
        Some("30000"),
        "MS",
        "longest time to finish requests in flight at a stop, 0 to 600000",
    ),
    Setting::new(
        "stop-notice-ms",
        "SISKIN_STOP_NOTICE_MS",
        Some("3000"),
        "MS",
        "time between failing readiness and closing the listener at a stop, 0 to 600000",
    ),
    Setting::new(
        "scheduling",
        "SISKIN_SCHEDULING",
        Some("fleet"),
        "MODE",
        "fleet, or isolated as a baseline for measurements",
    ),
    Setting::new(
        "fleet-size",
        "SISKIN_FLEET_SIZE",
        Some("1"),
        "COUNT",
        "routers that share the slots in isolated mode, 1 to 10000",
    ),
    Setting::new(
        "log",
        "SISKIN_LOG",
        Some("info"),
        "FILTER",
        "log level: error, warn, info, debug, trace",
    ),
    Setting::secret(
        "SISKIN_FLEET_KEY",
        "key that authenticates routers to each other, 16 bytes or more",
    ),
    Setting::secret("SISKIN_FLEET_KEY_NEXT", "second key accepted while the fleet key is changed"),
    Setting::secret(
        "SISKIN_HASH_KEY",
        "key for hashes of idempotency keys and contents, 16 bytes or more; must not change while claims are kept",
    ),
    Setting::secret(
        "SISKIN_OPERATOR_TOKEN",
        "bearer token of the operators' interface, 16 bytes or more",
    ),
];

impl Settings {
    /// Checks all values.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing or cannot be used.
    pub fn from_values(values: &Values) -> Result<Self, Error> {
        let scheduling = match values.required("scheduling")? {
            "fleet" => Scheduling::Fleet,
            "isolated" => Scheduling::Isolated,
            other => return Err(values.invalid("scheduling", other, "use fleet or isolated")),
        };
        let store = values.addresses("store")?;
        if store.is_empty() {
            return Err(values.invalid("store", "", "give at least one IP address with port"));
        }
        Ok(Self {
            node: Node(values.number("node", 0..=u32::MAX)?),
            data_centre: values.required("data-centre")?.to_owned(),
            listen: values.address("listen")?,
            control: values.address("control")?,
            operator: values.address("operator")?,
            seeds: values.addresses("seeds")?,
            store,
            vm_list: values.text("vm-list").map(|_| values.address("vm-list")).transpose()?,
            bootstrap: values.text("bootstrap").map(|path| document(values, path)).transpose()?,
            stop_timeout: values.millis("stop-timeout-ms", 0..=600_000)?,
            stop_notice: values.millis("stop-notice-ms", 0..=600_000)?,
            scheduling,
            fleet_size: values.number("fleet-size", 1..=10_000)?,
            fleet_key: secret(values, "SISKIN_FLEET_KEY")?,
            fleet_key_next: values
                .secret("SISKIN_FLEET_KEY_NEXT")
                .map(|_| secret(values, "SISKIN_FLEET_KEY_NEXT"))
                .transpose()?,
            hash_key: secret(values, "SISKIN_HASH_KEY")?,
            operator_token: secret(values, "SISKIN_OPERATOR_TOKEN")?,
            log: values.required("log")?.to_owned(),
        })
    }
}

fn document(values: &Values, path: &str) -> Result<Document, Error> {
    let refuse = |remedy: String| values.invalid("bootstrap", path, &remedy);
    let text =
        std::fs::read(path).map_err(|error| refuse(format!("name a readable file ({error})")))?;
    let document: Document = serde_json::from_slice(&text)
        .map_err(|error| refuse(format!("correct the JSON document in it ({error})")))?;
    validate(&document).map_err(|error| refuse(format!("correct the document ({error})")))?;
    Ok(document)
}

fn secret(values: &Values, variable: &str) -> Result<Secret, Error> {
    match values.secret(variable) {
        Some(text) if text.len() >= SECRET_BYTES_MIN => Ok(Secret::new(text)),
        _ => Err(Error::Secret {
            variable: variable.to_owned(),
            remedy: format!("set it, or {variable}_FILE, to at least {SECRET_BYTES_MIN} bytes"),
        }),
    }
}
