//! Load: callers that send many requests and do not read the answers.

use nutmegwheel_policy::readers::{MIN_RATE, Reader, choose};

fn reader(key: u8, held: usize, rate: Option<u64>) -> Reader<u8> {
    let is_ordered = false;
    Reader {
        key,
        held,
        rate,
        is_ordered,
    }
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

// An answer that waits for the room that later answers of the same connections take would never come.
#[test]
fn answers_behind_one_that_is_missing_go_last() {
    let mut ordered = reader(1, 900, Some(0));
    ordered.is_ordered = true;
    let readers = [ordered, reader(2, 100, Some(10))];
    assert_eq!(choose(50, &readers), [2]);
    assert_eq!(choose(150, &readers), [2, 1]);
}

#[test]
fn callers_that_read_are_not_given_up() {
    let readers = [reader(1, 500, Some(MIN_RATE)), reader(2, 500, None)];
    assert_eq!(choose(usize::MAX, &readers), []);
}
