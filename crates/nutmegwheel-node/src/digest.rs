use sha2::{Digest, Sha256};

/// Hashes several parts, each preceded by its length, so that different lists of parts cannot
/// collide by concatenation.
pub(crate) fn digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// The first half of [`digest`], for uses where 128 bits suffice.
pub(crate) fn short_digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u128 {
    let [high @ .., _, _, _, _, _, _, _, _, _, _, _, _, _, _, _, _] = digest(parts);
    u128::from_be_bytes(high)
}
