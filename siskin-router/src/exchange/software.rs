//! Finds the software version that answers on a connection, and keeps a stream at the version that began it.

use {
    super::Exchange,
    crate::{endpoints::ask_load, shared::Shared},
    siskin_net::upstream::{Connection, Error},
    siskin_types::{id::Endpoint, process::Process},
    std::net::SocketAddr,
    tokio::time::timeout,
};

impl Shared {
    /// Takes an idle connection to an engine, or opens a new one.
    pub(super) async fn take_engine(&self, address: SocketAddr) -> Result<Connection, Error> {
        match self.upstream.take_idle(address) {
            Some(connection) => Ok(connection),
            None => self.open_engine(address).await,
        }
    }

    /// Opens a connection to an engine and asks on it which process answers there: what was reported on another connection may be
    /// of the process before. An engine that does not say it in time is used all the same, as one of an unknown version.
    pub(super) async fn open_engine(&self, address: SocketAddr) -> Result<Connection, Error> {
        let mut connection = self.upstream.open(address).await?;
        let patience = self.view().document().fleet.probe_timeout();
        if let Ok(Some(process)) = timeout(patience, ask_process(&mut connection)).await {
            connection.set_process(process);
            return Ok(connection);
        }
        log::debug!(endpoint:% = address; "engine did not say which software it runs");
        // The answer may still come on the first connection.
        self.upstream.open(address).await
    }
}

/// Asks which process answers on a connection; `None` if it does not say, or the connection can carry no other request.
async fn ask_process(connection: &mut Connection) -> Option<Process> {
    let probe = ask_load(connection).await?;
    let process = Process { instance: probe.report.instance, software: probe.software };
    connection.is_ready().await.then_some(process)
}

impl Exchange {
    /// Whether the stream may go on at the process that answers on a connection.
    pub(super) fn may_go_on(&self, endpoint: Endpoint, connection: &Connection) -> bool {
        let is_named = self.shared.names_software(&self.shared.view(), &self.call.pool);
        let here = connection.process();
        let may = here.continues(&self.began, is_named);
        if !may {
            log::warn!(
                request:% = self.call.request, endpoint:% = endpoint,
                began = version(&self.began), here = version(here);
                "stream is not resumed: its endpoint no longer runs the software version that began it"
            );
        }
        may
    }
}

/// The version for the log.
fn version(process: &Process) -> &str {
    process.software.as_deref().unwrap_or("unknown")
}
