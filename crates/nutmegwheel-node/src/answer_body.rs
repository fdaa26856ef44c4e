//! Reads the body of an answer from the backend server, as far as the process has memory for it.

use std::{error::Error, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::{Body as _, Incoming};
use nutmegwheel_memory::{Account, Hold, Share};

/// The time between two looks for room in the account, a fraction of what callers notice.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Reads a body of at most `max_bytes`. While the account has no room, the backend server is not
/// read; the answer is not lost, since its request has run.
pub(crate) async fn read(
    body: Incoming,
    max_bytes: usize,
    account: &Account,
) -> Result<Bytes, Box<dyn Error + Send + Sync>> {
    if !account.is_limited() {
        return Ok(Limited::new(body, max_bytes).collect().await?.to_bytes());
    }
    let announced = body.size_hint().exact().unwrap_or(0);
    let announced = usize::try_from(announced).map_or(max_bytes, |n| n.min(max_bytes));
    let mut hold = account.hold();
    grow(&mut hold, announced).await;
    let mut body = Limited::new(body, max_bytes);
    let mut buf = BytesMut::with_capacity(announced);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let missing = (buf.len() + data.len()).saturating_sub(hold.bytes());
        grow(&mut hold, missing).await;
        buf.extend_from_slice(&data);
    }
    Ok(hold.attach(buf.freeze()))
}

/// Takes bytes from the account as soon as it has room.
async fn grow(hold: &mut Hold, bytes: usize) {
    while !hold.try_grow_within(bytes, Share::Answers) {
        tokio::time::sleep(ROOM_POLL_INTERVAL).await;
    }
}
