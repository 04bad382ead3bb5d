use super::*;

#[test]
fn figure_is_read_from_the_last_line_that_holds_it() {
    let lines = ["loop: longest cycle 1.5 ms", "loop: longest cycle 2.25 ms, largest timer delay 3 ms"]
        .map(str::to_owned);
    assert_eq!(number_after(&lines, "longest cycle "), Some(2.25));
    assert_eq!(number_after(&lines, ", largest timer delay "), Some(3.0));
}

#[test]
fn figure_that_no_line_holds_is_no_zero_and_is_named() {
    let lines = ["loop: longest cycle unknown".to_owned()];
    assert_eq!(number_after(&lines, "longest cycle "), None);
    assert_eq!(number_after(&lines, "key_bytes="), None);
    let missing = MissingFigure { text: "key_bytes=".into() };
    assert_eq!(missing.to_string(), "no line of the log has a number after \"key_bytes=\"");
}
