//! Generates the committed wire types from proto/.

fn main() {}
