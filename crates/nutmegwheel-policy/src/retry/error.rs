use nutmegwheel_types::plain_copy;

plain_copy! {
    /// The reason why a call is not sent.
    #[derive(thiserror::Error)]
    pub enum Error {
        /// The call is a repeat, and the retry budget of the chain is exhausted.
        #[error("beginning a call: the retry budget of the chain is spent")]
        Exhausted,
        /// The parent has too many calls in flight.
        #[error("beginning a call: its parent has {under_way} under way already")]
        TooManyCalls {
            /// The number of calls in flight.
            under_way: usize,
        },
        /// The call has already been finished.
        #[error("retrying a call: it has ended already")]
        AlreadyEnded,
    }
}
