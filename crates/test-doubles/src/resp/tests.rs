use super::*;

const COMMANDS: &[u8] = b"*2\r\n$4\r\nwant\r\n$1\r\na\r\n*1\r\n$4\r\nbusy\r\n";

#[test]
fn incomplete_command_is_not_parsed_at_any_truncation() {
    let complete = COMMANDS.len() - b"*1\r\n$4\r\nbusy\r\n".len();
    for length in 0..complete {
        assert_eq!(parse(&COMMANDS[..length]), Ok(None), "{length} bytes");
    }
    let parts = vec!["want".to_owned(), "a".to_owned()];
    assert_eq!(parse(COMMANDS), Ok(Some(ParsedArray { parts, length: complete })));
}
