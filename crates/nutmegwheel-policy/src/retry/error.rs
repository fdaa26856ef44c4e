use nutmegwheel_types::plain_copy;

plain_copy! {
    /// Why a call is not sent.
    #[derive(thiserror::Error)]
    pub enum Error {
        /// The call is a repeat and the retry budget of the chain is spent.
        #[error("beginning a call: the retry budget of the chain is spent")]
        Exhausted,
        /// The parent has too many calls under way.
        #[error("beginning a call: its parent has {under_way} under way already")]
        TooManyCalls {
            /// The calls under way.
            under_way: usize,
        },
        /// The call has ended already.
        #[error("retrying a call: it has ended already")]
        AlreadyEnded,
    }
}
