use super::*;

#[test]
fn figure_is_read_from_the_last_line_that_holds_it() {
    let lines = ["loop: longest turn 1.5 ms", "loop: longest turn 2.25 ms, latest 3 ms"].map(str::to_owned);
    assert_eq!(number_after(&lines, "longest turn "), Some(2.25));
    assert_eq!(number_after(&lines, ", latest "), Some(3.0));
}

#[test]
fn figure_that_no_line_holds_is_no_zero_and_is_named() {
    let lines = ["loop: longest turn unknown".to_owned()];
    assert_eq!(number_after(&lines, "longest turn "), None);
    assert_eq!(number_after(&lines, "key_bytes="), None);
    let missing = MissingFigure { text: "key_bytes=".into() };
    assert_eq!(missing.to_string(), "no line of the log has a number after \"key_bytes=\"");
}
