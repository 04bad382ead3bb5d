//! Just enough of a statement's words to tell what it reads: identifiers, past strings and comments.

use winnow::combinator::{alt, opt, preceded, repeat};
use winnow::prelude::*;
use winnow::token::{any, one_of, take_till, take_until, take_while};

const TABLE_FOLLOWS: [&str; 6] = ["from", "join", "into", "update", "table", "only"];

#[derive(Debug, Clone, PartialEq)]
enum Token<'a> {
    Word(&'a str),
    Dot,
    Other,
}

fn quoted<'a>(quote: char) -> impl FnMut(&mut &'a str) -> Result<&'a str, winnow::error::EmptyError> {
    move |input: &mut &'a str| {
        let whole = *input;
        one_of(quote).parse_next(input)?;
        loop {
            take_till(0.., |c| c == quote || c == '\\').parse_next(input)?;
            match input.chars().next() {
                // A string that never ends takes all the rest.
                None => return Ok(&whole[1..]),
                Some('\\') => {
                    any.parse_next(input)?;
                    opt(any).parse_next(input)?;
                }
                Some(_) => {
                    any.parse_next(input)?;
                    if opt(one_of(quote)).parse_next(input)?.is_none() {
                        return Ok(&whole[1..whole.len() - input.len() - 1]);
                    }
                }
            }
        }
    }
}

fn token<'a>(input: &mut &'a str) -> Result<Token<'a>, winnow::error::EmptyError> {
    let word = |c: char| c.is_alphanumeric() || c == '_' || c == '$';
    alt((
        preceded("--", take_till(0.., '\n')).value(Token::Other),
        ("/*", alt(((take_until(0.., "*/"), "*/").void(), take_while(0.., |_| true).void())))
            .value(Token::Other),
        quoted('\'').value(Token::Other),
        quoted('"').map(Token::Word),
        quoted('`').map(Token::Word),
        take_while(1.., word).map(Token::Word),
        '.'.value(Token::Dot),
        take_while(1.., char::is_whitespace).value(Token::Other),
        any.value(Token::Other),
    ))
    .parse_next(input)
}

fn tokens(statement: &str) -> Vec<Token<'_>> {
    let mut rest = statement;
    repeat(0.., token).parse_next(&mut rest).unwrap_or_default()
}

/// The number after the underscore in the name of the first schema that counts: 17 in `sales_17.orders`.
/// Names where a table is named go before others, as an alias may look like a schema.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(statement);
    let tokens: Vec<_> = tokens(&text).into_iter().filter(|t| *t != Token::Other).collect();
    let group = |i: usize| match (&tokens[i], tokens.get(i + 1)) {
        (Token::Word(schema), Some(Token::Dot)) if !schema.eq_ignore_ascii_case("staging") => {
            schema.rsplit_once('_').and_then(|(_, number)| number.parse().ok())
        }
        _ => None,
    };
    let before = |i: usize| i.checked_sub(1).map(|b| &tokens[b]);
    let named = |i: &usize| match before(*i) {
        Some(Token::Word(word)) => TABLE_FOLLOWS.iter().any(|k| k.eq_ignore_ascii_case(word)),
        _ => false,
    };
    let first_part = |i: &usize| before(*i) != Some(&Token::Dot);
    let all = 0..tokens.len();
    all.clone().filter(named).find_map(group).or_else(|| all.filter(first_part).find_map(group))
}

/// The first word of a statement, past comments and brackets.
pub fn first_word(statement: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(statement);
    tokens(&text).into_iter().find_map(|t| match t {
        Token::Word(word) => Some(word.to_ascii_lowercase()),
        _ => None,
    })
}

#[cfg(test)]
mod tests;
