use super::*;
use rstest::rstest;

/// Decodes a body that arrives in pieces of the given length. Returns the data, and whether the body ended.
fn decode(body: &[u8], piece: usize) -> Option<(Vec<u8>, bool)> {
    let (mut decoder, mut data, mut received, mut unread) = (ChunkDecoder::new(), Vec::new(), 0, 0);
    loop {
        match decoder.decode(&body[unread..received]) {
            Read::Complete(part, used) => {
                if part == ChunkPart::Data {
                    data.extend_from_slice(&body[unread..unread + used]);
                }
                unread += used;
                if part == ChunkPart::End {
                    return Some((data, true));
                }
            }
            Read::Incomplete if received == body.len() => return Some((data, false)),
            Read::Incomplete => received = (received + piece).min(body.len()),
            Read::Invalid => return None,
        }
    }
}

#[rstest]
#[case("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", Some(("abcde", true)))]
#[case("3;name=value\r\nabc\r\n0\r\nX-Trailer: a\r\n\r\n", Some(("abc", true)))]
#[case("3\nabc\n0\n\n", Some(("abc", true)))]
#[case("0\r\n\r\n", Some(("", true)))]
#[case("3\r\nab", Some(("ab", false)))]
#[case("3\r\nabc\r\n", Some(("abc", false)))]
#[case("3\r\nabcd\r\n", None)]
#[case("x\r\n", None)]
#[case("ffffffffff\r\n", None)]
fn body_is_decoded_in_pieces_of_any_length(#[case] body: &str, #[case] expected: Option<(&str, bool)>) {
    let expected = expected.map(|(data, ended)| (data.as_bytes().to_vec(), ended));
    for piece in 1..=body.len() {
        assert_eq!(decode(body.as_bytes(), piece), expected, "pieces of {piece} bytes");
    }
}
