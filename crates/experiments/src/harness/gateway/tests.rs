use super::*;

#[test]
fn number_is_read_from_the_last_line_with_the_text() {
    let lines = ["loop: longest cycle 1.5 ms", "loop: longest cycle 2.25 ms, largest timer delay 3 ms"]
        .map(str::to_owned);
    assert_eq!(number_after(&lines, "longest cycle "), Some(2.25));
    assert_eq!(number_after(&lines, ", largest timer delay "), Some(3.0));
}

#[test]
fn missing_number_is_an_error_that_names_the_text() {
    let lines = ["loop: longest cycle unknown".to_owned()];
    assert_eq!(number_after(&lines, "longest cycle "), None);
    assert_eq!(number_after(&lines, "key_bytes="), None);
    let missing = MissingNumber { text: "key_bytes=".into() };
    assert_eq!(missing.to_string(), "no line of the log has a number after \"key_bytes=\"");
}
