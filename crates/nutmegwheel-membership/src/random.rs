use nutmegwheel_types::plain;

/// The finalizer of `SplitMix64`.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

plain! {
    /// `SplitMix64` seeded with the nonce that the caller passed in, which makes runs reproducible.
    pub(crate) struct Random {
        state: u64,
    }
}

impl Random {
    pub(crate) fn open(seed: u64) -> Self {
        Self { state: seed }
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.state)
    }

    /// A random number below `bound`, or 0 when `bound` is 0.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        let bound = u64::try_from(bound).unwrap_or(u64::MAX);
        let drawn = self.next().checked_rem(bound).unwrap_or_default();
        usize::try_from(drawn).unwrap_or_default()
    }

    /// Samples up to `count` elements without replacement, moves them to the front and returns
    /// them.
    pub(crate) fn draw<T: Copy>(&mut self, from: &mut [T], count: usize) -> Vec<T> {
        let count = count.min(from.len());
        for index in 0..count {
            let other = index + self.below(from.len() - index);
            from.swap(index, other);
        }
        from[..count].to_vec()
    }
}
