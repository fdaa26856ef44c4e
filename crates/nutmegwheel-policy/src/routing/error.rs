use nutmegwheel_types::{DataCentreId, plain};

plain! {
    /// The reason why no backend server could be chosen.
    #[derive(thiserror::Error)]
    pub enum Error {
        /// No backend server is ready and reachable, in a data centre that is not evacuated.
        #[error("choosing a backend server from {data_centre}: none of {known} is ready and reachable")]
        NoneReady {
            /// The data centre of the sender.
            data_centre: DataCentreId,
            /// The number of backend servers in the table.
            known: usize,
        },
        /// The request has already been sent to every ready backend server.
        #[error("choosing a backend server from {data_centre}: all {tried} ready ones were tried")]
        AllTried {
            /// The data centre of the sender.
            data_centre: DataCentreId,
            /// The number of ready backend servers.
            tried: usize,
        },
    }
}
