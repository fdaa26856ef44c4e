//! Reading logs back and finding what was decided about one request.

use nutmegwheel_events::{Record, about, merge, read_log, render};

const DOOR: &str = r#"
12.310 sidecar-a-1 {"sequence":7,"stamp":{"millis":1003,"count":0},"process":"a-1","number":310,"event":"request-failed","fields":{"id":"beef","reason":"deadline"}}
not an event
{"sequence":6,"stamp":{"millis":1001,"count":0},"process":"a-1","number":312,"event":"call-retried","fields":{"id":"beefcafe"}}
{"sequence":5,"stamp":{"mill
"#;
const TARGET: &str = r#"{"sequence":1,"stamp":{"millis":1002,"count":1},"process":"b-1","number":311,"event":"call-failed","fields":{"id":"beef.01","root":"77"}}
{"sequence":2,"stamp":{"millis":1002,"count":2},"process":"b-1","number":100,"event":"process-started","fields":{}}
"#;

fn all() -> Vec<Record> {
    merge([read_log(DOOR).0, read_log(TARGET).0])
}

#[test]
fn lines_without_an_event_are_counted_and_prefixes_left_out() {
    let (records, skipped) = read_log(DOOR);
    assert_eq!((records.len(), skipped), (2, 2));
    assert_eq!(read_log("").1, 0);
}

#[test]
fn a_request_is_found_with_its_calls_and_no_other() {
    let found = about(all(), "beef");
    let ids: Vec<&str> = found.iter().map(|r| r.fields["id"].as_str()).collect();
    assert_eq!(ids, ["beef.01", "beef"], "in the order of their stamps");
    assert_eq!(about(all(), "77").len(), 1, "by the root id");
    assert!(about(all(), "bee").is_empty());
}

#[test]
fn the_rendered_line_tells_the_cause() {
    let text = render(&about(all(), "beef"));
    assert!(
        text.contains("a-1 310 request-failed id=beef reason=deadline"),
        "{text}"
    );
}
