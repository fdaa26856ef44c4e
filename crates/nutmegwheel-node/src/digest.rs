use sha2::{Digest, Sha256};

/// A hash of several parts, each with its length, so that no two lists of parts run together.
pub(crate) fn digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// The first half of [`digest`], where a short id is enough.
pub(crate) fn short_digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u128 {
    let [high @ .., _, _, _, _, _, _, _, _, _, _, _, _, _, _, _, _] = digest(parts);
    u128::from_be_bytes(high)
}
