use nutmegwheel_types::plain_copy;
use serde::Serialize;

use crate::{CheckError, reader::Field};

plain_copy! {
    /// The limits of what callers may send.
    #[derive(Serialize)]
    pub struct RequestLimits {
        /// The maximum size of a request body, in bytes; 1 to [`RequestLimits::MAX_BODY`].
        pub max_body: usize,
    }
}

impl RequestLimits {
    /// The maximum of `max_body`, in bytes. Links announce lengths in 32 bits.
    pub const MAX_BODY: usize = 1 << 30;
}

pub(crate) fn read(field: &Field<'_>) -> Result<RequestLimits, CheckError> {
    let mut table = field.table()?;
    let max_body = table.required("max_body")?;
    let limits = RequestLimits {
        max_body: max_body.number(&(1..=RequestLimits::MAX_BODY))?,
    };
    table.finish()?;
    Ok(limits)
}
