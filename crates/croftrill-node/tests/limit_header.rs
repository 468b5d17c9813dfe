//! Parsing of the header with which a replica reports a limit.

use croftrill_node::limit_header::limit_named;
use croftrill_scheduler::replica::{LimitSignal, RequestRate};
use http::header::{HeaderMap, HeaderName, HeaderValue};

const NAME: HeaderName = HeaderName::from_static("limit");

fn named(values: &[&'static str]) -> LimitSignal {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(NAME, HeaderValue::from_static(value));
    }
    limit_named(&headers, &NAME)
}

fn limited(per_s: f64) -> LimitSignal {
    LimitSignal::Limited(RequestRate::from_per_s(per_s).expect("a rate"))
}

#[test]
fn limit_named_reads_decimal_numbers() {
    assert_eq!(named(&["0"]), limited(0.0));
    assert_eq!(named(&["0.25"]), limited(0.25));
    assert_eq!(named(&[" 12 "]), limited(12.0));
    assert_eq!(named(&["1e9"]), limited(1e9));
    assert_eq!(named(&["1e300"]), limited(1e300));
}

#[test]
fn limit_named_of_no_number_says_nothing_and_of_none_that_there_is_none() {
    for value in ["", "-1", "NaN", "inf", "-inf", "soon", "1,5", "1 2"] {
        assert_eq!(named(&[value]), LimitSignal::Unspecified, "{value}");
    }
    assert_eq!(named(&[]), LimitSignal::Unlimited);
}

#[test]
fn limit_named_twice_is_the_lower_one_that_can_be_read() {
    assert_eq!(named(&["5", "2"]), limited(2.0));
    assert_eq!(named(&["soon", "2"]), limited(2.0));
}
