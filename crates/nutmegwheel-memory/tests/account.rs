//! Holds of one account never exceed its limit.

use nutmegwheel_memory::Account;

#[test]
fn holds_share_one_limit() {
    let account = Account::open(100);
    let (mut first, mut second) = (account.hold(), account.clone().hold());
    assert!(first.try_grow(60) && second.try_grow(40));
    assert!(!first.try_grow(1) && !second.try_grow(usize::MAX));
    assert_eq!((account.held(), first.bytes()), (100, 60));
    second.shrink(10);
    assert!(first.try_grow(10) && !first.try_grow(1));
    drop(first);
    assert_eq!(account.held(), 30);
    second.shrink(usize::MAX);
    assert_eq!(account.held(), 0);
}

#[test]
fn threads_never_exceed_limit() {
    let account = Account::open(1000);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..1000 {
                    let mut hold = account.hold();
                    let _ = hold.try_grow(400);
                    assert!(account.held() <= account.limit());
                }
            });
        }
    });
    assert_eq!(account.held(), 0);
}

#[test]
fn unlimited_account_refuses_nothing() {
    let account = Account::unlimited();
    let mut hold = account.hold();
    assert!(hold.try_grow(usize::MAX / 2) && !account.is_limited());
}
