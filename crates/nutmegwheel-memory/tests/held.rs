//! Bytes carry their share of an account.

use bytes::Bytes;
use nutmegwheel_memory::{Account, Share};

#[test]
fn bytes_hold_their_share_until_last_clone_is_dropped() {
    let account = Account::open(80);
    let hold = account.try_hold(40, Share::Requests).expect("room");
    let body = hold.attach(Bytes::from(vec![7; 40]));
    let part = body.slice(30..);
    drop(body);
    assert_eq!((account.held(), part.len(), part[0]), (40, 10, 7));
    drop(part);
    assert_eq!(account.held(), 0);
}

#[test]
fn shares_leave_room_for_each_other() {
    let account = Account::open(80);
    let _requests = account.try_hold(70, Share::Requests).expect("room");
    assert!(account.try_hold(1, Share::Requests).is_none());
    assert_eq!(account.excess(), 10);
    let _answers = account.try_hold(5, Share::Answers).expect("room");
    assert!(account.try_hold(1, Share::Answers).is_none());
    let _small = account.try_hold(5, Share::Small).expect("room");
    assert!(account.try_hold(1, Share::Small).is_none());
}
