use super::*;
use rstest::rstest;

#[rstest]
#[case("GET", "/api/ready", "", Ok(Call::Ready))]
#[case("GET", "/api/telemetry", "", Ok(Call::Telemetry))]
#[case("PUT", "/api/exclude", "s-1", Ok(Call::Exclude("s-1".into())))]
#[case("PUT", "/api/include", " s-1\r\n", Ok(Call::Include("s-1".into())))]
#[case("PUT", "/api/exclude", "", Err(400))]
#[case("PUT", "/api/exclude", "s-1 s-2", Err(400))]
#[case("PUT", "/api/exclude", "s\u{0}1", Err(400))]
#[case("POST", "/api/exclude", "s-1", Err(405))]
#[case("PUT", "/api/ready", "", Err(405))]
#[case("GET", "/api/readiness", "", Err(404))]
#[case("GET", "/", "", Err(404))]
fn valid_calls_are_parsed_and_invalid_calls_get_an_error_status(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] expected: Result<Call, u16>,
) {
    let result = read(method, path, body.as_bytes());
    assert!(result.as_ref().err().is_none_or(|r| r.text.ends_with('\n') && r.text.len() > 10));
    assert_eq!(result.map_err(|r| r.status), expected);
}

#[test]
fn body_that_is_not_utf8_or_too_long_is_rejected() {
    assert_eq!(read("PUT", "/api/exclude", &[0xff]).map_err(|r| r.status), Err(400));
    assert_eq!(read("PUT", "/api/exclude", &[b'a'; 300]).map_err(|r| r.status), Err(400));
}
