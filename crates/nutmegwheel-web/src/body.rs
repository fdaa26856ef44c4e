use std::{future::poll_fn, pin::pin, time::Duration};

use bytes::{Bytes, BytesMut};
use xitca_web::body::{Body, Frame, RequestBody};

use crate::Problem;

/// Reads a complete body, so that the request can be retried on another backend server.
///
/// # Errors
///
/// Refuses a body that exceeds `limit` bytes, takes longer than `read_timeout` or is incomplete.
pub(crate) async fn read(
    body: RequestBody,
    limit: usize,
    read_timeout: Duration,
) -> Result<Bytes, Problem> {
    match tokio::time::timeout(read_timeout, collect(body, limit)).await {
        Ok(read) => read,
        Err(_) => Err(Problem::bad_request("the body did not arrive in time").with_close()),
    }
}

async fn collect(body: RequestBody, limit: usize) -> Result<Bytes, Problem> {
    let mut body = pin!(body);
    let mut buf = BytesMut::new();
    while let Some(frame) = poll_fn(|cx| body.as_mut().poll_frame(cx)).await {
        let frame = frame.map_err(|_| Problem::bad_request("the body broke off").with_close())?;
        if let Frame::Data(data) = frame {
            if buf.len() + data.len() > limit {
                return Err(Problem::body_too_large(limit));
            }
            buf.extend_from_slice(&data);
        }
    }
    Ok(buf.freeze())
}
