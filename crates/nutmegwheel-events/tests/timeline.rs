//! Reading event records back from logs and selecting those of one request.

use nutmegwheel_events::{Record, filter_by_request, merge, read_log, render};

const INGRESS_LOG: &str = r#"
12.310 sidecar-a-1 {"sequence":7,"stamp":{"millis":1003,"count":0},"process":"a-1","number":310,"event":"request-failed","fields":{"id":"beef","reason":"deadline"}}
not an event
{"sequence":6,"stamp":{"millis":1001,"count":0},"process":"a-1","number":312,"event":"call-retried","fields":{"id":"beefcafe"}}
{"sequence":5,"stamp":{"mill
"#;
const TARGET_LOG: &str = r#"{"sequence":1,"stamp":{"millis":1002,"count":1},"process":"b-1","number":311,"event":"call-failed","fields":{"id":"beef.01","root":"77"}}
{"sequence":2,"stamp":{"millis":1002,"count":2},"process":"b-1","number":100,"event":"process-started","fields":{}}
"#;

fn merged_records() -> Vec<Record> {
    merge([read_log(INGRESS_LOG).0, read_log(TARGET_LOG).0])
}

#[test]
fn counts_lines_without_event_and_skips_prefixes() {
    let (records, skipped) = read_log(INGRESS_LOG);
    assert_eq!((records.len(), skipped), (2, 2));
    assert_eq!(read_log("").1, 0);
}

#[test]
fn finds_request_with_its_calls_only() {
    let found = filter_by_request(merged_records(), "beef");
    let ids: Vec<&str> = found.iter().map(|r| r.fields["id"].as_str()).collect();
    assert_eq!(ids, ["beef.01", "beef"], "in the order of their timestamps");
    assert_eq!(
        filter_by_request(merged_records(), "77").len(),
        1,
        "by the root id"
    );
    assert!(filter_by_request(merged_records(), "bee").is_empty());
}

#[test]
fn renders_number_name_and_fields() {
    let text = render(&filter_by_request(merged_records(), "beef"));
    assert!(
        text.contains("a-1 310 request-failed id=beef reason=deadline"),
        "{text}"
    );
}
