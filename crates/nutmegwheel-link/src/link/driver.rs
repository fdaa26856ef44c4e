use std::{io, sync::Arc, time::Instant};

use bytes::{Buf, BytesMut};
use thiserror::Error;
use tokio::{net::TcpStream, time::Sleep};
use tokio_util::{codec::Decoder, sync::CancellationToken};

use super::{Link, now, serve};
use crate::{
    Service,
    mux::{Event, Silent, Violation},
    wire::{FrameDecoder, FrameError, Kind},
};

/// The bytes for which room is made before a read.
const READ_CHUNK: usize = 32 * 1024;
/// The most bytes that are read before they are worked on.
const READ_BATCH: usize = 2 * READ_CHUNK;
/// The bytes of frames that are collected for one write.
const WRITE_BATCH: usize = 64 * 1024;
/// The writes after which reading gets its turn.
const WRITES_PER_TURN: usize = 8;

/// Why a link ended.
#[derive(Debug, Error)]
pub(crate) enum End {
    #[error("the far side closed the connection")]
    Closed,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Silent(#[from] Silent),
    #[error(transparent)]
    Violation(#[from] Violation),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("nothing more to do")]
    Finished,
    #[error("this endpoint was stopped")]
    Stopped,
}

/// Moves the bytes of a link until it ends.
pub(crate) struct Driver {
    link: Arc<Link>,
    stream: TcpStream,
    service: Arc<dyn Service>,
    decoder: FrameDecoder,
    input: BytesMut,
    output: BytesMut,
    frames: Vec<Kind>,
    /// Bytes that were handed to the socket and not yet reported to the state machine.
    written: usize,
    /// When a drained link is closed although its dialler has not done so.
    linger_until: Option<Instant>,
}

/// What the driver waits for next.
struct Wait {
    until: Instant,
    read: bool,
    /// Whether no stream is open.
    is_quiet: bool,
}

/// Lifecycle
impl Driver {
    /// Takes over a connection whose handshake is done; `input` is what was read beyond it.
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
            linger_until: None,
        }
    }

    /// Runs until the link ends, and answers every call of it before returning.
    pub(crate) async fn run(mut self, stop: CancellationToken, drain: CancellationToken) -> End {
        let end = match self.drive(&stop, &drain).await {
            Ok(()) => End::Finished,
            Err(end) => end,
        };
        self.close(&end);
        end
    }

    fn close(&mut self, end: &End) {
        let mut state = self.link.state();
        state.reason = Arc::from(end.to_string());
        state.mux.wrote(std::mem::take(&mut self.written));
        state.mux.close();
        state.settle();
        for (_, task) in state.running.drain() {
            task.abort();
        }
    }
}

/// The loop
impl Driver {
    async fn drive(
        &mut self,
        stop: &CancellationToken,
        drain: &CancellationToken,
    ) -> Result<(), End> {
        self.take_frames()?;
        let mut timer = std::pin::pin!(tokio::time::sleep_until(now().into()));
        let mut is_draining = false;
        while let Some(wait) = self.turn()? {
            set_timer(timer.as_mut(), wait.until);
            if wait.is_quiet {
                self.release_buffers();
            }
            // Reading comes first, so that a process that was itself stopped for a while hears
            // what is waiting for it before it judges the far side silent.
            tokio::select! {
                biased;
                ready = self.stream.readable(), if wait.read => {
                    ready?;
                    self.read()?;
                }
                () = self.link.wake.notified() => {}
                ready = self.stream.writable(), if !self.output.is_empty() => ready?,
                () = stop.cancelled() => return Err(End::Stopped),
                () = drain.cancelled(), if !is_draining => {
                    is_draining = true;
                    self.link.go_away();
                }
                () = timer.as_mut() => {}
            }
        }
        Ok(())
    }

    /// Sends what may be sent; `None` once the link has nothing more to do.
    fn turn(&mut self) -> Result<Option<Wait>, End> {
        for _ in 0..WRITES_PER_TURN {
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

    fn fill(&mut self) -> Result<Option<Wait>, End> {
        let now = now();
        let mut state = self.link.state();
        state.mux.wrote(std::mem::take(&mut self.written));
        state.mux.tick(now)?;
        state.mux.fill(&mut self.output, WRITE_BATCH, now);
        let mut until = state.mux.next_tick(now);
        let read = state.mux.wants_read();
        let is_quiet = state.mux.open_streams() == 0;
        let is_flushed = self.output.is_empty();
        if is_flushed && state.mux.is_finished(now) {
            return Ok(None);
        }
        if is_flushed && state.mux.is_drained() {
            let patience = state.mux.patience();
            let end = *self.linger_until.get_or_insert(now + patience);
            if now >= end {
                return Ok(None);
            }
            until = until.min(end);
        }
        Ok(Some(Wait {
            until,
            read,
            is_quiet,
        }))
    }

    /// A link without open streams holds no buffers, so that a thousand of them cost little.
    fn release_buffers(&mut self) {
        if self.input.is_empty() && self.output.is_empty() {
            self.input = BytesMut::new();
            self.output = BytesMut::new();
            self.frames = Vec::new();
        }
    }
}

/// Bytes
impl Driver {
    fn write(&mut self) -> Result<(), End> {
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

    fn read(&mut self) -> Result<(), End> {
        let mut total = 0;
        let mut is_closed = false;
        while total < READ_BATCH {
            self.input.reserve(READ_CHUNK);
            match self.stream.try_read_buf(&mut self.input) {
                Ok(0) => {
                    is_closed = true;
                    break;
                }
                Ok(n) => total += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e.into()),
            }
        }
        self.take_frames()?;
        if is_closed { Err(End::Closed) } else { Ok(()) }
    }

    /// Decodes what was read outside the lock and applies it under one.
    fn take_frames(&mut self) -> Result<(), End> {
        let damage = loop {
            match self.decoder.decode(&mut self.input) {
                Ok(Some(kind)) => self.frames.push(kind),
                Ok(None) => break None,
                Err(e) => break Some(e),
            }
        };
        let (events, violation) = self.apply_frames();
        for event in events {
            self.handle(event);
        }
        violation?;
        damage.map_or(Ok(()), |e| Err(e.into()))
    }

    fn apply_frames(&mut self) -> (Vec<Event>, Result<(), Violation>) {
        let now = now();
        let mut state = self.link.state();
        let mut frames = self.frames.drain(..);
        let result = frames.try_for_each(|kind| state.mux.receive(kind, now));
        (state.settle(), result)
    }

    fn handle(&self, event: Event) {
        let link = &self.link;
        match event {
            Event::Requested { stream, req } => {
                serve::spawn(link, self.service.clone(), stream, req);
            }
            Event::Cancelled { stream } => {
                if let Some(task) = link.state().running.remove(&stream) {
                    task.abort();
                }
            }
            Event::Noticed { topic, body } => {
                self.service.notice(link.peer.clone(), topic, body);
            }
            Event::Replied { .. } | Event::Failed { .. } => {}
        }
    }
}

/// A timer that would fire too early is left alone, since most turns only move the time back.
fn set_timer(timer: std::pin::Pin<&mut Sleep>, until: Instant) {
    let until = until.into();
    if timer.is_elapsed() || until < timer.deadline() {
        timer.reset(until);
    }
}
