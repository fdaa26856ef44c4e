use std::sync::Arc;

/// The name of a workspace (a tenant), as in the operators' configuration.
pub type WorkspaceId = Arc<str>;
/// The name of a service, the first segment of a request's path.
pub type ServiceId = Arc<str>;
/// The name of an endpoint of a service, the second segment of a request's path.
pub type EndpointId = Arc<str>;
/// The name of a class of work.
pub type ClassId = Arc<str>;
/// The rank of a class of work: 0 is shed last.
pub type ClassRank = u8;
/// The name of a data centre.
pub type DataCentreId = Arc<str>;
/// The name of a process of the system, unique in the fleet.
pub type ProcessName = Arc<str>;
/// The incarnation of a process, which increases at every restart.
pub type Incarnation = u64;
/// The version of the replicated configuration, which never decreases.
pub type ConfigVersion = u64;
/// The SHA-256 of a workspace key. The key itself is never stored.
pub type KeyHash = [u8; 32];
/// The id of a client request, which stays the same over the whole call chain.
pub type RootId = u128;
/// The id of a request, which stays the same when the caller resends it. It is the hash of
/// workspace, endpoint and the caller's idempotency key.
pub type RequestId = [u8; 32];
/// The name of a route that matches by host and path prefix.
pub type RouteId = Arc<str>;
