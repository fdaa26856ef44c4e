//! Checksummed log frames, and the distinction between a torn write and corruption.
//!
//! A frame is one synced write: a header (magic, length, frame number, checksum of the payload,
//! checksum of the header) and the payload. A crash can tear only the last frame of a file, which
//! is then either shorter than its header says or lacks whole sectors, which read as zeros.
//! Anything else is corruption. See docs/spec/AGREEMENT.md, "Files".

const MAGIC: u32 = 0x4e57_4c31;
/// The size of the frame header.
pub(super) const HEADER_BYTES: usize = 24;
/// The smallest unit that a disk writes atomically.
const SECTOR_BYTES: usize = 512;

/// The result of reading a frame at an offset of a file.
pub(super) enum Read<'a> {
    /// A valid frame; `end` is the offset after it.
    Frame { payload: &'a [u8], end: usize },
    /// The offset is at the end of the file.
    End,
    /// The frame is incomplete, because a crash interrupted its write.
    Torn,
    /// The frame is corrupt in a way that a crash cannot explain.
    Damaged(&'static str),
}

/// Encodes `payload` as a frame.
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

/// Reads the frame at `offset`, which must have the frame number `number`.
pub(super) fn read(file: &[u8], offset: usize, number: u64) -> Read<'_> {
    let rest = &file[offset..];
    if rest.is_empty() {
        return Read::End;
    }
    let Some(header) = rest.get(..HEADER_BYTES) else {
        return Read::Torn;
    };
    if crc32c::crc32c(&header[..20]) != read_u32(header, 20) || read_u32(header, 0) != MAGIC {
        return torn_or_damaged(
            rest,
            has_zeroed_sector(offset, header),
            "invalid frame header",
        );
    }
    if u64::from(read_u32(header, 8)) | u64::from(read_u32(header, 12)) << 32 != number {
        return Read::Damaged("frame number out of sequence");
    }
    let len = read_u32(header, 4) as usize;
    let Some(payload) = rest[HEADER_BYTES..].get(..len) else {
        return Read::Torn;
    };
    let (frame, after) = rest.split_at(HEADER_BYTES + len);
    if crc32c::crc32c(payload) == read_u32(header, 16) {
        let end = offset + HEADER_BYTES + len;
        return Read::Frame { payload, end };
    }
    torn_or_damaged(
        after,
        has_zeroed_sector(offset, frame),
        "payload checksum mismatch",
    )
}

/// Classifies an invalid frame as torn if a sector of it is missing and nothing was written after
/// it, and otherwise as damaged.
fn torn_or_damaged<'a>(after: &[u8], zeroed_sector: bool, damage: &'static str) -> Read<'a> {
    let last = after.len() <= HEADER_BYTES || damage == "invalid frame header";
    if zeroed_sector && (last || after.iter().all(|b| *b == 0)) {
        return Read::Torn;
    }
    Read::Damaged(damage)
}

/// Returns whether the frame's bytes within some sector are all zero.
fn has_zeroed_sector(offset: usize, frame: &[u8]) -> bool {
    let first = SECTOR_BYTES - offset % SECTOR_BYTES;
    let (head, tail) = frame.split_at(first.min(frame.len()));
    let is_zero = |part: &[u8]| part.iter().all(|b| *b == 0);
    is_zero(head) || tail.chunks(SECTOR_BYTES).any(is_zero)
}

fn read_u32(header: &[u8], at: usize) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&header[at..at + 4]);
    u32::from_le_bytes(bytes)
}
