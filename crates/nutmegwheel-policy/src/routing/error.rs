use nutmegwheel_types::{DataCentreId, plain};

plain! {
    /// Why no backend server was chosen.
    #[derive(thiserror::Error)]
    pub enum Error {
        /// None is announced ready and reachable.
        #[error("choosing a backend server from {data_centre}: none of {known} is ready and reachable")]
        NoneReady {
            /// The data centre of the chooser.
            data_centre: DataCentreId,
            /// The number of backend servers in the table.
            known: usize,
        },
        /// All that are ready were already tried for this request.
        #[error("choosing a backend server from {data_centre}: all {tried} ready ones were tried")]
        AllTried {
            /// The data centre of the chooser.
            data_centre: DataCentreId,
            /// The number of those tried.
            tried: usize,
        },
    }
}
