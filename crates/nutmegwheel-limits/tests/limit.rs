//! Conversion of the configured rate and burst to a limit.

use nutmegwheel_limits::Limit;

#[test]
fn rounds_burst_to_at_least_one_token() {
    for (burst, whole) in [
        (0.0, 1),
        (0.4, 1),
        (1.0, 1),
        (7.9, 7),
        (f64::MAX, u64::from(u32::MAX)),
    ] {
        assert_eq!(
            Limit::from_config(1.0, burst).burst_tokens(),
            whole,
            "{burst}"
        );
    }
}

#[test]
fn converts_negative_rate_to_zero() {
    assert_eq!(Limit::from_config(-1.0, 1.0).rate, 0);
}
