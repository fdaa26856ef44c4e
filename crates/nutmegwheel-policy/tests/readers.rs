//! Load: callers that send many requests and do not read the answers.

use nutmegwheel_policy::readers::{MIN_RATE, Reader, choose};

fn reader(key: u8, held: usize, rate: Option<u64>) -> Reader<u8> {
    Reader { key, held, rate }
}

#[test]
fn slowest_readers_go_first_until_enough_is_released() {
    let readers = [
        reader(1, 500, Some(10)),
        reader(2, 100, Some(0)),
        reader(3, 300, Some(0)),
        reader(4, 900, Some(20)),
    ];
    assert_eq!(choose(350, &readers), [3, 2]);
    assert_eq!(choose(401, &readers), [3, 2, 1]);
    assert_eq!(choose(0, &readers), []);
}

#[test]
fn callers_that_read_are_not_given_up() {
    let readers = [reader(1, 500, Some(MIN_RATE)), reader(2, 500, None)];
    assert_eq!(choose(usize::MAX, &readers), []);
}
