//! The HTTP listeners of a node.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context as _;
use nutmegwheel_memory::Account;
use nutmegwheel_web::{BodyLimit, Handler, Server};

use crate::{
    backend_handler::BackendHandler, heartbeat_handler::HeartbeatHandler,
    host_ingress::HostIngress, ingress::Ingress, platform::PlatformHandler, shared::Shared,
};

/// The time limit for reading a complete request.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The percentage of the descriptors that connections of callers may take. The rest is left for
/// links, the backend server and files.
const CALLERS_DESCRIPTOR_PERCENT: usize = 75;
/// The percentage of the descriptors that connections of the platform, and those of the backend
/// server, may take.
const CONTROL_DESCRIPTOR_PERCENT: usize = 5;

/// Opens the listeners.
///
/// # Errors
///
/// Fails when one cannot be opened; the error names it.
pub(crate) fn bind(shared: &Arc<Shared>) -> anyhow::Result<Vec<Server>> {
    let listen = &shared.settings.listen;
    let mut servers = Vec::new();
    let max_descriptors = shared.settings.max_descriptors;
    let max_callers = max_descriptors.map(|n| n * CALLERS_DESCRIPTOR_PERCENT / 100);
    let control = Account::for_control(shared.settings.max_memory);
    // A process without a bound of its memory accepts as many as before.
    let max_control = max_descriptors.filter(|_| control.is_limited());
    let max_control = max_control.map(|n| n * CONTROL_DESCRIPTOR_PERCENT / 100);
    let mut open = |name,
                    address: Option<SocketAddr>,
                    max_connections: Option<usize>,
                    account: &Account,
                    body_limit: &BodyLimit,
                    handler: Box<dyn Handler>| {
        let address = address.context(name)?;
        let opts = nutmegwheel_web::Options {
            address,
            body_limit: body_limit.clone(),
            read_timeout: REQUEST_READ_TIMEOUT,
            max_connections,
            account: account.clone(),
        };
        servers.push(nutmegwheel_web::bind(opts, shared.journal.clone(), handler).context(name)?);
        anyhow::Ok(())
    };
    let shared = || shared.clone();
    let (backend, callers): (Box<dyn Handler>, Box<dyn Handler>) = match shared().dialect.clone() {
        Some(dialect) => (
            Box::new(HeartbeatHandler {
                shared: shared(),
                dialect: dialect.clone(),
            }),
            Box::new(HostIngress {
                shared: shared(),
                dialect,
            }),
        ),
        None => (
            Box::new(BackendHandler { shared: shared() }),
            Box::new(Ingress { shared: shared() }),
        ),
    };
    let peers = &shared().memory;
    let (callers_limit, default_limit) = {
        let views = &shared().views;
        (views.body_limit.clone(), views.default_max_body.into())
    };
    let (max_backend, account, backend_limit) = match shared().dialect {
        Some(_) => (max_control, &control, &default_limit),
        // The backend server makes its downstream calls there.
        None => (None, peers, &callers_limit),
    };
    open(
        "open listen.backend",
        listen.backend,
        max_backend,
        account,
        backend_limit,
        backend,
    )?;
    open(
        "open listen.callers",
        listen.callers,
        max_callers,
        peers,
        &callers_limit,
        callers,
    )?;
    // The last one, since the platform sends callers to a node that answers there.
    open(
        "open listen.platform",
        Some(listen.platform),
        max_control,
        &control,
        &default_limit,
        Box::new(PlatformHandler { shared: shared() }),
    )?;
    Ok(servers)
}
