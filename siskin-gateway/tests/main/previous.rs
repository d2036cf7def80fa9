//! What routers of the previous version send and read: lists of endpoints without software versions.

use {
    serde::{Deserialize, Serialize},
    siskin_gateway::{
        catalog::{Catalog, WarmUp},
        directory::{self, Directory},
    },
    siskin_types::{id, position::Position},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// An endpoint.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    pub(crate) instance: String,
    id: id::Endpoint,
    service: String,
    address: SocketAddr,
    data_centre: String,
    slots: u32,
    leaving: bool,
    expired: bool,
}

impl From<&directory::Endpoint> for Endpoint {
    fn from(endpoint: &directory::Endpoint) -> Self {
        Self {
            instance: endpoint.instance.clone(),
            id: endpoint.id,
            service: endpoint.service.clone(),
            address: endpoint.address,
            data_centre: endpoint.data_centre.clone(),
            slots: endpoint.slots,
            leaving: endpoint.leaving,
            expired: endpoint.expired,
        }
    }
}

/// A list of endpoints.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct List {
    pub(crate) position: Position,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) drained: Vec<String>,
    pub(crate) cold: Vec<(id::Endpoint, u32)>,
}

impl List {
    /// The list without cold endpoints.
    pub(crate) fn new(list: &Directory) -> Self {
        Self {
            position: list.position(),
            endpoints: list.endpoints().iter().map(Endpoint::from).collect(),
            drained: list.drained().to_vec(),
            cold: Vec::new(),
        }
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Self {
        postcard::from_bytes(bytes).unwrap()
    }
}

/// A configuration and a list of endpoints for a router that starts.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub(crate) catalog: Catalog,
    pub(crate) list: List,
    pub(crate) warm_ups: BTreeMap<String, WarmUp>,
    pub(crate) sources: Vec<SocketAddr>,
}

impl Snapshot {
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Self {
        postcard::from_bytes(bytes).unwrap()
    }
}
