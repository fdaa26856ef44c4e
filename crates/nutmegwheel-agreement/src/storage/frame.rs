//! Checksummed frames, and how a torn tail is told from damage.
//!
//! A frame is one synced write: magic, length and number of the frame with their checksum, then the
//! payload with its own. Only the last frame of a file can be torn by a crash. It is then either
//! shorter than it says or lacks whole sectors, which read as zeros; anything else is damage. See
//! docs/spec/AGREEMENT.md, "Files".

const MAGIC: u32 = 0x4e57_4c31;
/// The bytes before the payload.
pub(super) const HEADER_BYTES: usize = 24;
/// The bytes that a disk writes as a whole.
const SECTOR_BYTES: usize = 512;

/// What stands at an offset of a file.
pub(super) enum Read<'a> {
    /// A whole frame and the offset after it.
    Frame { payload: &'a [u8], end: usize },
    /// Nothing more.
    End,
    /// The beginning of a write that a crash cut off.
    Torn,
    /// Something that no crash explains.
    Damaged(&'static str),
}

/// Returns a frame around `payload`.
pub(super) fn encode(number: u64, payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    frame.extend_from_slice(&MAGIC.to_le_bytes());
    frame.extend_from_slice(&len.to_le_bytes());
    frame.extend_from_slice(&number.to_le_bytes());
    frame.extend_from_slice(&crc32c::crc32c(payload).to_le_bytes());
    frame.extend_from_slice(&crc32c::crc32c(&frame).to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// Reads the frame at `offset`, which must bear `number`.
pub(super) fn read(file: &[u8], offset: usize, number: u64) -> Read<'_> {
    let rest = &file[offset..];
    if rest.is_empty() {
        return Read::End;
    }
    let Some(header) = rest.get(..HEADER_BYTES) else {
        return Read::Torn;
    };
    if crc32c::crc32c(&header[..20]) != field(header, 20) || field(header, 0) != MAGIC {
        return torn_or_damaged(rest, has_zeroed_sector(offset, header), "bad header");
    }
    if u64::from(field(header, 8)) | u64::from(field(header, 12)) << 32 != number {
        return Read::Damaged("frame out of order");
    }
    let len = field(header, 4) as usize;
    let Some(payload) = rest[HEADER_BYTES..].get(..len) else {
        return Read::Torn;
    };
    let (frame, after) = rest.split_at(HEADER_BYTES + len);
    if crc32c::crc32c(payload) == field(header, 16) {
        let end = offset + HEADER_BYTES + len;
        return Read::Frame { payload, end };
    }
    torn_or_damaged(after, has_zeroed_sector(offset, frame), "bad checksum")
}

/// A frame that lacks a sector is torn if nothing was written after it.
fn torn_or_damaged<'a>(after: &[u8], zeroed_sector: bool, damage: &'static str) -> Read<'a> {
    let last = after.len() <= HEADER_BYTES || damage == "bad header";
    if zeroed_sector && (last || after.iter().all(|b| *b == 0)) {
        return Read::Torn;
    }
    Read::Damaged(damage)
}

/// Returns whether all of a frame's bytes within some sector are zero.
fn has_zeroed_sector(offset: usize, frame: &[u8]) -> bool {
    let first = SECTOR_BYTES - offset % SECTOR_BYTES;
    let (head, tail) = frame.split_at(first.min(frame.len()));
    let is_zero = |part: &[u8]| part.iter().all(|b| *b == 0);
    is_zero(head) || tail.chunks(SECTOR_BYTES).any(is_zero)
}

fn field(header: &[u8], at: usize) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&header[at..at + 4]);
    u32::from_le_bytes(bytes)
}
