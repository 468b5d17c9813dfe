//! Parsing of the header with which a replica reports a limit.

use croftrill_node::limit_header::parse_limit;
use croftrill_scheduler::replica::{LimitSignal, RequestRate};
use http::header::{HeaderMap, HeaderName, HeaderValue};

const NAME: HeaderName = HeaderName::from_static("limit");

fn parsed(values: &[&'static str]) -> LimitSignal {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(NAME, HeaderValue::from_static(value));
    }
    parse_limit(&headers, &NAME)
}

fn limited(per_s: f64) -> LimitSignal {
    LimitSignal::Limited(RequestRate::from_per_s(per_s).expect("a rate"))
}

#[test]
fn parse_limit_decimal_numbers() {
    assert_eq!(parsed(&["0"]), limited(0.0));
    assert_eq!(parsed(&["0.25"]), limited(0.25));
    assert_eq!(parsed(&[" 12 "]), limited(12.0));
    assert_eq!(parsed(&["1e9"]), limited(1e9));
    assert_eq!(parsed(&["1e300"]), limited(1e300));
}

#[test]
fn parse_limit_without_number_is_unspecified_and_without_header_unlimited() {
    for value in ["", "-1", "NaN", "inf", "-inf", "soon", "1,5", "1 2"] {
        assert_eq!(parsed(&[value]), LimitSignal::Unspecified, "{value}");
    }
    assert_eq!(parsed(&[]), LimitSignal::Unlimited);
}

#[test]
fn parse_limit_of_several_values_is_lowest_readable_one() {
    assert_eq!(parsed(&["5", "2"]), limited(2.0));
    assert_eq!(parsed(&["soon", "2"]), limited(2.0));
}
