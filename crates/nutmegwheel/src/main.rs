//! The binary of nutmegwheel.

fn main() {}
