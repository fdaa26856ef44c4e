//! The numbers of the configuration as a limit.

use nutmegwheel_limits::Limit;

#[test]
fn bursts_are_whole_and_at_least_one() {
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
fn a_negative_rate_is_none() {
    assert_eq!(Limit::from_config(-1.0, 1.0).rate, 0);
}
