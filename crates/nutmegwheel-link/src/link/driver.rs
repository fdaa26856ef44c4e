use std::{collections::HashSet, io, sync::Arc, time::Instant};

use bytes::{Buf, BytesMut};
use thiserror::Error;
use tokio::{net::TcpStream, time::Sleep};
use tokio_util::{codec::Decoder, sync::CancellationToken};

use super::{Link, now, serve};
use crate::{
    Service,
    mux::{Event, PeerTimeout, StreamId, Violation},
    wire::{FrameDecoder, FrameError, Kind},
};

/// The buffer space that is reserved before each read.
const READ_CHUNK_BYTES: usize = 32 * 1024;
/// The number of bytes after which reading pauses until the received frames are processed.
const READ_BATCH_BYTES: usize = 2 * READ_CHUNK_BYTES;
/// The number of bytes after which received requests are started although more has arrived.
const MAX_READ_BYTES: usize = 64 * READ_BATCH_BYTES;
/// The number of bytes of frames to encode for one write.
const WRITE_BATCH_BYTES: usize = 64 * 1024;
/// The maximum number of consecutive writes before the driver reads again.
const MAX_CONSECUTIVE_WRITES: usize = 8;

/// Why a link ended.
#[derive(Debug, Error)]
pub(crate) enum CloseReason {
    #[error("the far side closed the connection")]
    Closed,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    PeerTimeout(#[from] PeerTimeout),
    #[error(transparent)]
    Violation(#[from] Violation),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("nothing more to do")]
    Finished,
    #[error("this endpoint was stopped")]
    Stopped,
}

/// Transfers the bytes of a link between its socket and its state machine until the link ends.
pub(crate) struct Driver {
    link: Arc<Link>,
    stream: TcpStream,
    service: Arc<dyn Service>,
    decoder: FrameDecoder,
    input: BytesMut,
    output: BytesMut,
    frames: Vec<Kind>,
    /// Bytes that were handed to the socket but not yet reported to the state machine.
    written: usize,
    /// The time at which a drained link is closed even if its dialler has not closed it.
    linger_deadline: Option<Instant>,
}

/// The conditions that the driver waits for next.
struct Wait {
    deadline: Instant,
    wants_read: bool,
    /// Whether no stream is open, so that the buffers can be released.
    is_idle: bool,
}

impl Driver {
    /// Creates the driver of a connection whose handshake has completed; `input` holds the bytes
    /// that were read after it.
    pub(crate) fn new(
        link: Arc<Link>,
        stream: TcpStream,
        input: BytesMut,
        service: Arc<dyn Service>,
    ) -> Self {
        Self {
            link,
            stream,
            service,
            decoder: FrameDecoder::default(),
            input,
            output: BytesMut::new(),
            frames: Vec::new(),
            written: 0,
            linger_deadline: None,
        }
    }

    /// Runs until the link ends, and completes all of its calls before returning.
    pub(crate) async fn run(
        mut self,
        stop: CancellationToken,
        drain: CancellationToken,
    ) -> CloseReason {
        let reason = match self.drive(&stop, &drain).await {
            Ok(()) => CloseReason::Finished,
            Err(reason) => reason,
        };
        self.close(&reason);
        reason
    }

    fn close(&mut self, reason: &CloseReason) {
        let mut state = self.link.state();
        state.reason = Arc::from(reason.to_string());
        state.mux.record_written(std::mem::take(&mut self.written));
        state.mux.close();
        state.dispatch_outcomes();
        for (_, task) in state.running.drain() {
            task.abort();
        }
    }
}

impl Driver {
    async fn drive(
        &mut self,
        stop: &CancellationToken,
        drain: &CancellationToken,
    ) -> Result<(), CloseReason> {
        let mut events = Vec::new();
        let result = self.process_frames(&mut events);
        self.dispatch(events, result.is_ok());
        result?;
        let mut timer = std::pin::pin!(tokio::time::sleep_until(now().into()));
        let mut is_draining = false;
        while let Some(wait) = self.send_pending()? {
            set_timer(timer.as_mut(), wait.deadline);
            if wait.is_idle {
                self.release_buffers();
            }
            // Reading comes first, so that a process that was itself suspended receives what its
            // peer has sent in the meantime before it times out the peer.
            tokio::select! {
                biased;
                ready = self.stream.readable(), if wait.wants_read => {
                    ready?;
                    self.read()?;
                }
                () = self.link.wake.notified() => {}
                ready = self.stream.writable(), if !self.output.is_empty() => ready?,
                () = stop.cancelled() => return Err(CloseReason::Stopped),
                () = drain.cancelled(), if !is_draining => {
                    is_draining = true;
                    self.link.go_away();
                }
                () = timer.as_mut() => {}
            }
        }
        Ok(())
    }

    /// Sends pending frames. Returns what to wait for, or `None` once the link can be closed.
    fn send_pending(&mut self) -> Result<Option<Wait>, CloseReason> {
        for _ in 0..MAX_CONSECUTIVE_WRITES {
            let wait = self.fill()?;
            if self.output.is_empty() {
                return Ok(wait);
            }
            self.write()?;
            if !self.output.is_empty() {
                return Ok(wait);
            }
        }
        self.link.wake.notify_one();
        self.fill()
    }

    fn fill(&mut self) -> Result<Option<Wait>, CloseReason> {
        let now = now();
        let mut state = self.link.state();
        state.mux.record_written(std::mem::take(&mut self.written));
        state.mux.tick(now)?;
        state.mux.fill(&mut self.output, WRITE_BATCH_BYTES, now);
        let mut deadline = state.mux.next_tick(now);
        let wants_read = state.mux.wants_read();
        let is_idle = state.mux.open_streams() == 0;
        let is_flushed = self.output.is_empty();
        if is_flushed && state.mux.is_finished(now) {
            return Ok(None);
        }
        if is_flushed && state.mux.is_drained() {
            let linger_timeout = state.mux.linger_timeout();
            let linger_deadline = *self.linger_deadline.get_or_insert(now + linger_timeout);
            if now >= linger_deadline {
                return Ok(None);
            }
            deadline = deadline.min(linger_deadline);
        }
        Ok(Some(Wait {
            deadline,
            wants_read,
            is_idle,
        }))
    }

    /// Frees the buffers of a link without open streams, so that a thousand idle links use little
    /// memory.
    fn release_buffers(&mut self) {
        if self.input.is_empty() && self.output.is_empty() {
            self.input = BytesMut::new();
            self.output = BytesMut::new();
            self.frames = Vec::new();
        }
    }
}

impl Driver {
    fn write(&mut self) -> Result<(), CloseReason> {
        while !self.output.is_empty() {
            match self.stream.try_write(&self.output) {
                Ok(n) => {
                    self.output.advance(n);
                    self.written += n;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }

    /// Reads what has arrived, and only then starts the requests in it, since their cancellations
    /// or the end of the connection may have arrived too.
    fn read(&mut self) -> Result<(), CloseReason> {
        let mut events = Vec::new();
        let result = self.receive(&mut events);
        self.dispatch(events, result.is_ok());
        result
    }

    fn receive(&mut self, events: &mut Vec<Event>) -> Result<(), CloseReason> {
        let mut total = 0;
        while total < MAX_READ_BYTES && self.link.state().mux.wants_read() {
            let n = self.read_batch()?;
            if n == 0 {
                break;
            }
            self.process_frames(events)?;
            total += n;
        }
        Ok(())
    }

    /// Reads up to a batch, and returns 0 if nothing has arrived.
    fn read_batch(&mut self) -> Result<usize, CloseReason> {
        let mut total = 0;
        while total < READ_BATCH_BYTES {
            self.input.reserve(READ_CHUNK_BYTES);
            match self.stream.try_read_buf(&mut self.input) {
                Ok(0) if total == 0 => return Err(CloseReason::Closed),
                Ok(0) => break,
                Ok(n) => total += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e.into()),
            }
        }
        Ok(total)
    }

    /// Decodes the received frames without the lock, then takes it once to apply all of them.
    fn process_frames(&mut self, events: &mut Vec<Event>) -> Result<(), CloseReason> {
        let decode_error = loop {
            match self.decoder.decode(&mut self.input) {
                Ok(Some(kind)) => self.frames.push(kind),
                Ok(None) => break None,
                Err(e) => break Some(e),
            }
        };
        let (applied, violation) = self.apply_frames();
        events.extend(applied);
        violation?;
        decode_error.map_or(Ok(()), |e| Err(e.into()))
    }

    /// Handles events, but starts no request that was cancelled among them, and none if the
    /// connection is closed.
    fn dispatch(&self, mut events: Vec<Event>, is_open: bool) {
        let cancelled = events.iter().filter_map(|event| match event {
            Event::Cancelled { stream } => Some(*stream),
            _ => None,
        });
        let cancelled: HashSet<StreamId> = cancelled.collect();
        events.retain(|event| match event {
            Event::Requested { stream, .. } => is_open && !cancelled.contains(stream),
            _ => true,
        });
        for event in events {
            self.handle(event);
        }
    }

    fn apply_frames(&mut self) -> (Vec<Event>, Result<(), Violation>) {
        let now = now();
        let mut state = self.link.state();
        let mut frames = self.frames.drain(..);
        let result = frames.try_for_each(|kind| state.mux.receive(kind, now));
        (state.dispatch_outcomes(), result)
    }

    fn handle(&self, event: Event) {
        let link = &self.link;
        match event {
            Event::Requested {
                stream,
                req,
                deadline,
            } => serve::spawn(link, self.service.clone(), stream, req, deadline),
            Event::Cancelled { stream } => {
                if let Some(task) = link.state().running.remove(&stream) {
                    task.abort();
                }
            }
            Event::Notification { topic, body } => {
                self.service.notify(link.peer.clone(), topic, body);
            }
            Event::Replied { .. } | Event::Failed { .. } => {}
        }
    }
}

/// Resets the timer only if it has elapsed or would fire after the deadline. Most calls postpone
/// the deadline, and need no reset.
fn set_timer(timer: std::pin::Pin<&mut Sleep>, deadline: Instant) {
    let deadline = deadline.into();
    if timer.is_elapsed() || deadline < timer.deadline() {
        timer.reset(deadline);
    }
}
